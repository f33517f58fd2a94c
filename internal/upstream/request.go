package upstream

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
	"time"

	"spanflow/internal/http1"
	"spanflow/transport"
)

// Paths and field names of requests, and buffer sizes.
const (
	singlePath          = "/hook"
	batchPath           = "/hook/batch"
	idField             = "X-Txn"
	idempotencyKeyField = "Idempotency-Key"
	timeLeftField       = "X-Remaining-Ms"
	connectionField     = "Connection"
	connectionClose     = "close" // no other request follows on the connection

	headBytes = 256 // capacity for a request's head

	batchEntryStart = `{"id":`
	batchEntryKey   = `,"key":`
	batchEntryBody  = `,"body":"`
	batchEntryEnd   = `"}`
)

// BatchFramingBytes is what the body of a batch takes beside its messages.
const BatchFramingBytes = len("[]")

// BatchBytes returns what a message takes of the body of a batch, at most.
func BatchBytes(message *transport.Message) int {
	size := len(",") + len(batchEntryStart) + transport.QuotedBytes(message.ID) + len(batchEntryBody) +
		base64.StdEncoding.EncodedLen(len(message.Body)) + len(batchEntryEnd)
	if message.IdempotencyKey != "" {
		size += len(batchEntryKey) + transport.QuotedBytes(message.IdempotencyKey)
	}
	return size
}

// encodeRequest returns the HTTP request of a call that is sent after a part of its timeout has passed. A single message is
// sent with its body unchanged, several as a JSON array.
func encodeRequest(call *transport.Call, passed time.Duration) []byte {
	timeLeft := strconv.FormatInt(max(0, call.Timeout.Milliseconds()-passed.Milliseconds()), 10)
	if len(call.Messages) == 1 {
		return encodeSingle(call.Address, timeLeft, &call.Messages[0])
	}
	body := encodeBatchBody(call.Messages)
	b := http1.AppendRequestLine(make([]byte, 0, headBytes+len(body)), "POST", batchPath, call.Address)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, timeLeftField, timeLeft)
	b = http1.AppendField(b, connectionField, connectionClose)
	return http1.AppendBody(b, body)
}

func encodeSingle(address, timeLeft string, message *transport.Message) []byte {
	b := make([]byte, 0, headBytes+len(message.Body))
	b = http1.AppendRequestLine(b, "POST", singlePath, address)
	b = http1.AppendField(b, idField, message.ID)
	if message.IdempotencyKey != "" {
		b = http1.AppendField(b, idempotencyKeyField, message.IdempotencyKey)
	}
	b = http1.AppendField(b, timeLeftField, timeLeft)
	b = http1.AppendField(b, connectionField, connectionClose)
	return http1.AppendBody(b, message.Body)
}

// encodeBatchBody returns [{"id":...,"key":...,"body":...},...] with the bodies in base64.
func encodeBatchBody(messages []transport.Message) []byte {
	size := BatchFramingBytes
	for i := range messages {
		size += messages[i].BatchBytes
	}
	body := append(make([]byte, 0, size), '[')
	for i, m := range messages {
		if i > 0 {
			body = append(body, ',')
		}
		body = appendQuoted(append(body, batchEntryStart...), m.ID)
		if m.IdempotencyKey != "" {
			body = appendQuoted(append(body, batchEntryKey...), m.IdempotencyKey)
		}
		body = append(body, batchEntryBody...)
		body = base64.StdEncoding.AppendEncode(body, m.Body)
		body = append(body, batchEntryEnd...)
	}
	return append(body, ']')
}

// appendQuoted appends s as a JSON string literal.
func appendQuoted(b []byte, s string) []byte {
	quoted, _ := json.Marshal(s) // encoding a string cannot fail
	return append(b, quoted...)
}
