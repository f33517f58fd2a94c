package intake

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"

	"spanflow/seam"
)

func command(c *Client, args [][]byte) seam.Asked {
	a := seam.Asked{From: c}
	switch name := strings.ToUpper(string(args[0])); name {
	case "PING":
		a.Alive = true
	case "MSG.PUT":
		p, err := put(args)
		if a.Paper = p; err != nil {
			a.Paper, a.Why = nil, "ERR "+err.Error()
		}
	default:
		a.Why = "ERR unknown command"
	}
	return a
}

const mostLeft = 86_400_000 // milliseconds

// plain tells that a word can travel in the head of a call.
func plain(word string) bool {
	for i := range len(word) {
		if word[i] <= ' ' || word[i] >= 0x7f {
			return false
		}
	}
	return true
}

var errPut = errors.New("MSG.PUT takes a key, an id, names with values, and a body")

func put(args [][]byte) (*seam.Handed, error) {
	if len(args) != 5 || len(args[2]) == 0 || len(args[2]) > 128 {
		return nil, errPut
	}
	key, err := strconv.ParseUint(string(args[1]), 16, 64)
	if err != nil {
		return nil, errors.New("the key is not a hexadecimal number")
	}
	if len(args[4]) > 64<<10 {
		return nil, errors.New("the body is over 64 KiB")
	}
	if !plain(string(args[2])) {
		return nil, errors.New("the id holds bytes that it may not")
	}
	p := &seam.Handed{Key: key, ID: string(args[2]), Body: bytes.Clone(args[4]), Left: -1, Came: time.Now()}
	dest := false
	for pair := range strings.SplitSeq(string(args[3]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			p.Type = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms < mostLeft) || strings.Trim(value, "0123456789.") != "" {
				return nil, errors.New("d is not a time in milliseconds")
			}
			p.Left = ms / 1000
		case "dest":
			if p.Dest, err = strconv.ParseUint(value, 10, 32); err != nil {
				return nil, errors.New("dest is not a number")
			}
			dest = true
		case "k":
			if p.Mark = value; !plain(value) || len(value) > 128 {
				return nil, errors.New("k holds bytes that it may not")
			}
		case "t":
			p.Tenant = value
		case "r", "again", "":
		default:
			p.Unknown = name
		}
	}
	if p.Left < 0 || !dest {
		return nil, errors.New("d or dest is missing")
	}
	return p, nil
}
