package respserver

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"

	"spanflow/transport"
)

// command makes a request of a command's words.
func command(c *Client, args [][]byte) transport.Request {
	a := transport.Request{From: c}
	switch name := strings.ToUpper(string(args[0])); name {
	case "PING":
		a.Ping = true
	case "MSG.PUT":
		p, err := put(args)
		if a.Submission = p; err != nil {
			a.Submission, a.Malformed = nil, "ERR "+err.Error()
		}
	default:
		a.Malformed = "ERR unknown command"
	}
	return a
}

const (
	maxLeftMs    = 86_400_000
	maxIDBytes   = 128
	maxMarkBytes = 128
	maxBodyBytes = 64 << 10
	putWords     = 5
)

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

// put reads the words of MSG.PUT: its name, a key, an id, names with values, and a body.
func put(args [][]byte) (*transport.Submission, error) {
	if len(args) != putWords || len(args[2]) == 0 || len(args[2]) > maxIDBytes {
		return nil, errPut
	}
	key, err := strconv.ParseUint(string(args[1]), 16, 64)
	if err != nil {
		return nil, errors.New("the key is not a hexadecimal number")
	}
	if len(args[4]) > maxBodyBytes {
		return nil, errors.New("the body is over 64 KiB")
	}
	if !plain(string(args[2])) {
		return nil, errors.New("the id holds bytes that it may not")
	}
	p := &transport.Submission{Key: key, ID: string(args[2]), Body: bytes.Clone(args[4]), ReceivedAt: time.Now()}
	if err := putOptions(p, string(args[3])); err != nil {
		return nil, err
	}
	return p, nil
}

// putOptions reads names with values, "c=notice,d=8000,dest=7". Of those that are not known one is kept, for the log.
func putOptions(p *transport.Submission, text string) error {
	left, dest := false, false
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		var err error
		switch name {
		case "c":
			p.Type = value
		case "d":
			p.SecondsLeft, err = secondsLeft(value)
			left = true
		case "dest":
			if p.Destination, err = strconv.ParseUint(value, 10, 32); err != nil {
				err = errors.New("dest is not a number")
			}
			dest = true
		case "k":
			if p.IdempotencyKey = value; !plain(value) || len(value) > maxMarkBytes {
				err = errors.New("k holds bytes that it may not")
			}
		case "t":
			p.Tenant = value
		case "r", "again", "":
		default:
			p.UnknownOption = name
		}
		if err != nil {
			return err
		}
	}
	if !left || !dest {
		return errors.New("d or dest is missing")
	}
	return nil
}

// secondsLeft reads a time in milliseconds, digits and a point alone.
func secondsLeft(value string) (float64, error) {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0 && ms < maxLeftMs) || strings.Trim(value, "0123456789.") != "" {
		return 0, errors.New("d is not a time in milliseconds")
	}
	return ms / 1000, nil
}
