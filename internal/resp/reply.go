package resp

import "strconv"

// SimpleString returns the encoding of a simple string. The text must not contain a line break.
func SimpleString(text string) []byte { return []byte("+" + text + "\r\n") }

// ErrorReply returns the encoding of an error. The text must not contain a line break.
func ErrorReply(text string) []byte { return []byte("-" + text + "\r\n") }

// BusyReply returns the error that asks the client to retry after retryAfterMs milliseconds, or at a time of the
// client's choice if retryAfterMs is 0.
func BusyReply(retryAfterMs int) []byte {
	if retryAfterMs <= 0 {
		return ErrorReply("BUSY")
	}
	return ErrorReply("BUSY " + strconv.Itoa(retryAfterMs))
}
