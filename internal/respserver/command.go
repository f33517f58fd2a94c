package respserver

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"spanflow/transport"
)

const (
	maxTimeLeftMs          = 86_400_000
	maxIDBytes             = 128
	maxIdempotencyKeyBytes = 128
	msPerSecond            = 1000
)

// Positions of the arguments of MSG.PUT.
const (
	argKey = iota + 1 // index 0 is the command's name
	argID
	argOptions
	argBody
	putArgs // number of arguments, including the name
)

// Errors for an invalid MSG.PUT. Their texts are part of the protocol.
var (
	errPutArgs        = errors.New("MSG.PUT takes a key, an id, names with values, and a body")
	errKey            = errors.New("the key is not a hexadecimal number")
	errIDBytes        = errors.New("the id holds bytes that it may not")
	errDestination    = errors.New("dest is not a number")
	errIdempotencyKey = errors.New("k holds bytes that it may not")
	errMissingOption  = errors.New("d or dest is missing")
	errTimeLeft       = errors.New("d is not a time in milliseconds")
)

// bodySizeError reports that the body of a message is over the limit.
type bodySizeError struct{ bytes int }

// Error returns a text with the size and the limit.
func (e *bodySizeError) Error() string {
	return fmt.Sprintf("the body has %d bytes, over the limit of %d", e.bytes, transport.MaxBodyBytes)
}

// parseCommand converts a command to a request. It copies the parts of the arguments that it keeps.
func parseCommand(c *Client, args [][]byte) transport.Request {
	request := transport.Request{From: c}
	switch name := strings.ToUpper(string(args[0])); name {
	case "PING":
		request.Ping = true
	case "MSG.PUT":
		submission, err := parsePut(args)
		if err != nil {
			request.Malformed = "ERR " + err.Error()
			return request
		}
		request.Submission = submission
	default:
		request.Malformed = "ERR unknown command"
	}
	return request
}

// parsePut parses the arguments of MSG.PUT: a key, an ID, options, and a body.
func parsePut(args [][]byte) (*transport.Submission, error) {
	if len(args) != putArgs || len(args[argID]) == 0 || len(args[argID]) > maxIDBytes {
		return nil, errPutArgs
	}
	key, err := strconv.ParseUint(string(args[argKey]), 16, 64)
	if err != nil {
		return nil, errKey
	}
	if size := len(args[argBody]); size > transport.MaxBodyBytes {
		return nil, &bodySizeError{size}
	}
	if !isPrintable(string(args[argID])) {
		return nil, errIDBytes
	}
	submission := &transport.Submission{
		Key:        key,
		ID:         string(args[argID]),
		Body:       bytes.Clone(args[argBody]),
		ReceivedAt: time.Now(),
	}
	if err := parseOptions(submission, string(args[argOptions])); err != nil {
		return nil, err
	}
	return submission, nil
}

// parseOptions parses comma-separated options such as "c=notice,d=8000,dest=7". If several are unknown, only the last
// one is recorded for the log.
func parseOptions(submission *transport.Submission, text string) error {
	hasTimeLeft, hasDestination := false, false
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		var err error
		switch name {
		case "c":
			submission.Type = value
		case "d":
			submission.SecondsLeft, err = parseTimeLeft(value)
			hasTimeLeft = true
		case "dest":
			submission.Destination, err = parseDestination(value)
			hasDestination = true
		case "k":
			submission.IdempotencyKey, err = parseIdempotencyKey(value)
		case "t":
			submission.Tenant = value
		case "r", "again", "":
		default:
			submission.UnknownOption = name
		}
		if err != nil {
			return err
		}
	}
	if !hasTimeLeft || !hasDestination {
		return errMissingOption
	}
	return nil
}

// parseTimeLeft converts milliseconds, a plain decimal without sign or exponent, to seconds.
func parseTimeLeft(value string) (float64, error) {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0 && ms < maxTimeLeftMs) || strings.Trim(value, "0123456789.") != "" {
		return 0, errTimeLeft
	}
	return ms / msPerSecond, nil
}

func parseDestination(value string) (uint64, error) {
	destination, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return 0, errDestination
	}
	return destination, nil
}

func parseIdempotencyKey(value string) (string, error) {
	if !isPrintable(value) || len(value) > maxIdempotencyKeyBytes {
		return "", errIdempotencyKey
	}
	return value, nil
}

// isPrintable reports whether text can be sent as an HTTP field value: printable ASCII without spaces.
func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] >= 0x7f {
			return false
		}
	}
	return true
}
