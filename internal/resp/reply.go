package resp

import "strconv"

// SimpleString returns a simple string as it is sent. The text may not contain a line's end.
func SimpleString(text string) []byte { return []byte("+" + text + "\r\n") }

// ErrorReply returns an error as it is sent. The text may not contain a line's end.
func ErrorReply(text string) []byte { return []byte("-" + text + "\r\n") }

// BusyReply returns the error that asks the client to retry after retryAfterMs milliseconds, or at a time of its choice
// if that is 0.
func BusyReply(retryAfterMs int) []byte {
	if retryAfterMs <= 0 {
		return ErrorReply("BUSY")
	}
	return ErrorReply("BUSY " + strconv.Itoa(retryAfterMs))
}
