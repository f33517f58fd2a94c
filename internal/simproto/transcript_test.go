package simproto_test

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/simproto"
	"spanflow/internal/transcript"
)

// The functions below encode batches as the simulator does, little-endian and without padding.

// fields encodes values in the given order. Numbers take the size of their type; strings are appended as they are.
func fields(values ...any) []byte {
	var b []byte
	for _, value := range values {
		switch v := value.(type) {
		case string:
			b = append(b, v...)
		default:
			var err error
			if b, err = binary.Append(b, binary.LittleEndian, v); err != nil {
				panic(err)
			}
		}
	}
	return b
}

// batch returns an input frame. The clock is in milliseconds.
func batch(clock float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return append(fields(uint32(16+len(body)), uint32(len(records)), clock), body...)
}

const instance = uint16(3)

// simulatorSettings are the settings of a forwarder that polls the list of endpoints and holds up to four messages at
// once, with one message type for each kind of idempotency.
const simulatorSettings = `{"Classes":[{"Name":"order","Idempotency":"fragile","Slo":3000,"HardLimit":24000,"Worth":1},
{"Name":"update","Idempotency":"dedup","Group":"all","Sequential":true,"Slo":3000,"HardLimit":24000,"MemorySpan":15000},
{"Name":"status","Idempotency":"retryable","Slo":3000,"HardLimit":20000}],
"Extra":{"CallsOut":2,"KindBatch":[1]},"Guarantees":{"AskWithin":1000,"KeyRest":100,"Cold":10000,"ColdFrom":0.2,"FallMultiple":2},
"Limits":{"AttemptsCap":2,"MaxOpen":4,"RetryAfter":true,"MaxRetryAfter":1500,"ConnIdle":10000,"ConnectTimeout":1500},
"Report":{"Fields":["x0","x1"]},"Discovery":"ask","NInstances":1}`

var (
	addressA = [6]byte{10, 18, 74, 7, 91, 27}
	addressB = [6]byte{10, 144, 17, 242, 132, 27}
)

func provision(settings string) []byte {
	return fields(uint8(6), instance, uint64(0x0807060504030201), uint32(len(settings)), settings)
}

// manifest encodes a list of endpoints of one destination. A status is 0 for an endpoint that has left, 1 for an active
// one and 2 for one that is leaving.
func manifest(number uint16, statuses map[[6]byte]uint8) []byte {
	b := fields(uint8(7), number, uint32(len(statuses)))
	for _, address := range [][6]byte{addressA, addressB} {
		if status, listed := statuses[address]; listed {
			b = append(b, fields(uint16(57), uint16(0), float64(0), float32(1), address, uint16(0), status)...)
		}
	}
	return b
}

func discovered(scope uint8, list uint16) []byte {
	return fields(uint8(0), instance, uint64(41), scope, list)
}

func message(id uint32, messageType uint8, key uint64, remainingMs float64) []byte {
	return fields(uint8(10), instance, id, messageType, uint16(0), key, remainingMs, float64(12), float32(57), uint8(1))
}

func result(id uint32, address [6]byte, final uint8, retryAfterMs uint32, reason uint16, report ...float32) []byte {
	return append(fields(uint8(1), instance, id, address, final, float64(18.5), retryAfterMs, uint16(0), reason,
		uint8(len(report))), fields(report)...)
}

func wake() []byte { return fields(uint8(9), instance, uint64(0)) }

func withdrawal(id uint32) []byte { return fields(uint8(2), instance, id) }

// records splits a reply frame into its header and its records, one line of hexadecimal digits each. The text of a log
// record is masked.
func records(t *testing.T, reply []byte) []string {
	t.Helper()
	size := map[byte]int{0: 21, 1: 15, 2: 7, 4: 19, 6: 9, 10: 4}
	lines := []string{hex.EncodeToString(reply[:8])}
	for b := reply[8:]; len(b) > 0; {
		if b[0] == 8 {
			lines = append(lines, hex.EncodeToString(b[:3])+" LOG")
			b = b[5+int(binary.LittleEndian.Uint16(b[3:])):]
			continue
		}
		n, known := size[b[0]]
		require.True(t, known, "record of code %d", b[0])
		lines = append(lines, hex.EncodeToString(b[:n]))
		b = b[n:]
	}
	if strings.Contains(strings.Join(lines, "\n"), "LOG") { // the frame's length depends on the masked text
		lines[0] = "LENGTH" + lines[0][8:]
	}
	return lines
}

// exchange sends the batches one after the other, reads the reply to each and adds both to the transcript.
func exchange(t *testing.T, script *transcript.Transcript, steps []step) {
	t.Helper()
	in, toServer := io.Pipe()
	fromServer, out := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := simproto.Serve(in, out)
		out.Close()
		ended <- err
	}()
	for _, s := range steps {
		script.Note("%s", s.what)
		script.Line("simulator", hex.EncodeToString(s.frame))
		_, err := toServer.Write(s.frame)
		require.NoError(t, err)
		head := make([]byte, 4)
		_, err = io.ReadFull(fromServer, head)
		require.NoError(t, err)
		reply := make([]byte, binary.LittleEndian.Uint32(head))
		copy(reply, head)
		_, err = io.ReadFull(fromServer, reply[4:])
		require.NoError(t, err)
		for _, line := range records(t, reply) {
			script.Line("adapter", line)
		}
	}
	toServer.Close()
	require.NoError(t, <-ended)
}

type step struct {
	what  string
	frame []byte
}

func TestFramesMatchTranscript(t *testing.T) {
	both := map[[6]byte]uint8{addressA: 1, addressB: 1}
	var script transcript.Transcript
	exchange(t, &script, []step{
		{"an empty batch", batch(254000)},
		{"a forwarder is provisioned and asks for the list", batch(254000, provision(simulatorSettings))},
		{"the list could not be had", batch(254050, discovered(3, 0))},
		{"the whole list: one endpoint", batch(254060, manifest(0, map[[6]byte]uint8{addressA: 1}), discovered(1, 0))},
		{"one message of each class", batch(256000,
			message(1, 0, 0, 8000), message(2, 1, 0x91f03b7c55d20a64, 8000), message(3, 2, 0, 8000))},
		{"a wake-up", batch(256020, wake())},
		{"a fourth message, and two beyond the room", batch(256030,
			message(4, 2, 0, 8000), message(5, 2, 0, 8000), message(6, 2, 0, 8000))},
		{"delivered, with a load report", batch(256040, result(1, addressA, 1, 0, 200, 0.4, 25))},
		{"a wake-up", batch(256060, wake())},
		{"server error", batch(256070, result(2, addressA, 0, 0, 502))},
		{"a wake-up", batch(256100, wake())},
		{"rejected with a time to wait", batch(256140, result(3, addressA, 0, 250, 429), result(2, addressA, 0, 250, 429))},
		{"a wake-up", batch(256400, wake())},
		{"a second endpoint, as a change", batch(256410, manifest(1, both), discovered(2, 1))},
		{"a wake-up later", batch(256900, wake())},
		{"withdrawn", batch(256910, withdrawal(2), withdrawal(3), withdrawal(4), withdrawal(99))},
		{"what was withdrawn while it was out has ended", batch(256950, result(3, addressB, 1, 0, 200))},
		{"a wake-up later", batch(259000, wake())},
		{"a message that may not run twice", batch(265010, message(10, 0, 0, 8000))},
		{"a wake-up", batch(265030, wake())},
		{"its connection is reset: it may have run", batch(265040, result(10, addressA, 0, 0, 520))},
		{"two messages that may run twice", batch(266000, message(11, 2, 0, 8000), message(12, 2, 0, 8000))},
		{"a wake-up", batch(266020, wake())},
		{"no connection", batch(266030, result(11, addressA, 0, 0, 521))},
		{"timed out, cancelled, not sent", batch(266040,
			result(12, addressA, 0, 0, 408), result(11, addressA, 0, 0, 444), result(11, addressA, 1, 0, 409))},
		{"a wake-up", batch(266100, wake())},
		{"the call that is out has timed out", batch(266105, result(12, addressB, 0, 0, 408))},
		{"a message with no time left", batch(266110, message(13, 2, 0, 1))},
		{"both endpoints drain", batch(266500, manifest(0, map[[6]byte]uint8{addressA: 2, addressB: 2}), discovered(1, 0))},
		{"both have left", batch(266600, manifest(0, map[[6]byte]uint8{addressA: 0, addressB: 0}), discovered(2, 0))},
		{"a message without an endpoint", batch(266700, message(14, 2, 0, 500))},
		{"its time is over", batch(268000, wake())},
		{"records that change nothing", batch(268100,
			fields(uint8(3), instance, uint32(1), addressA, float64(0), uint16(0)),
			fields(uint8(5), instance, uint16(1), uint16(2), "ab"),
			fields(uint8(8), instance, addressA, uint16(0), float64(0), uint8(1), float32(1)))},
		{"the forwarder is killed and provisioned anew", batch(268200, fields(uint8(4), instance), provision(simulatorSettings))},
	})
	script.Compare(t, "frames.txt")
}
