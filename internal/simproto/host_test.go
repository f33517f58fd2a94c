package simproto

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const settingsText = `{"Classes":[{"Idempotency":"dedup","Group":"all","Sequential":true,"Slo":3000,"HardLimit":24000,
"MemorySpan":15000,"Worth":1}],"Extra":{"CallsOut":8,"KindBatch":[10]},"Limits":{"AttemptsCap":6,"MaxOpen":90,
"RetryAfter":true,"MaxRetryAfter":2000},"NInstances":2,"Unheard":{"of":1}}`

func unhex(s string) []byte {
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		panic(err)
	}
	return b
}

func frame(records int, body ...[]byte) []byte {
	b := bytes.Join(body, nil)
	head := binary.LittleEndian.AppendUint32(nil, uint32(16+len(b)))
	head = binary.LittleEndian.AppendUint32(head, uint32(records))
	head = binary.LittleEndian.AppendUint64(head, math.Float64bits(254000))
	return append(head, b...)
}

var (
	provision = append(unhex("06 0300 0102030405060708"),
		append(binary.LittleEndian.AppendUint32(nil, uint32(len(settingsText))), settingsText...)...)
	manifest = unhex(`07 0000 02000000
		3900 0000 0000000000000000 0000803f 0a124a07 5b1b 0000 01
		3900 0000 0000000000d4b740 0000c03f 0a9011f2 841b 0000 01`)
	discovery    = unhex("00 0300 2900000000000000 02 0000")
	message      = unhex("0a 0300 c4913a5d 00 0000 640ad2557c3bf091 0000000000006e40 0000000000002840 00006442 01")
	kill         = unhex("04 0300")
	attemptEnded = unhex("01 0300 c4913a5d 0a124a07 5b1b 01 0000000000803240 00000000 0000 c800 02 cdcccc3e0000a03f")
	withdrawal   = unhex("02 0300 192b6f0e")
)

func serve(t *testing.T, in ...[]byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(bytes.NewReader(bytes.Join(in, nil)), &out)
	return out.Bytes(), err
}

func TestEmptyBatch(t *testing.T) {
	out, err := serve(t, unhex("10000000 00000000 00000000206ec040"))
	require.NoError(t, err)
	require.Equal(t, unhex("08000000 00000000"), out)
}

func TestMessageIsSentToItsEndpoint(t *testing.T) {
	out, err := serve(t, frame(4, provision, manifest, discovery, message))
	require.NoError(t, err)
	require.Contains(t, string(out), string(unhex("00 0300 c4913a5d 0a")), "sent to one of the two endpoints")
	_, err = serve(t, frame(4, provision, manifest, discovery, message),
		frame(4, attemptEnded, withdrawal, kill, provision))
	require.NoError(t, err)
}

func TestErrorsOfMalformedInput(t *testing.T) {
	listWithoutLength := append([]byte{}, manifest[:3]...)
	for want, in := range map[string][]byte{
		"out of range":               {1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
		"batch header":               {16, 0, 0},
		"cut short":                  frame(1, kill)[:18],
		"unknown event code 77":      frame(1, []byte{77, 0, 0}),
		"exceeds the frame":          frame(1, append(listWithoutLength, 255, 255, 255, 255)),
		"unknown instance 3":         frame(1, message),
		"after 1 of 9 records":       frame(9, manifest),
		"follow the last record":     frame(1, manifest, kill),
		"settings of instance 3":     frame(1, unhex("06 0300 0102030405060708 02000000 7b7b")),
		"a field exceeds":            frame(2, provision, message[:20]),
		"list 0 was never":           frame(2, provision, discovery),
		"unknown outcome":            frame(2, provision, bytes.Replace(attemptEnded, []byte{0xc8, 0}, []byte{7, 0}, 1)),
		"message type 9":             frame(2, provision, bytes.Replace(message, []byte{0x5d, 0}, []byte{0x5d, 9}, 1)),
		"clock is not finite":        append(append(frame(0)[:8:8], 0, 0, 0, 0, 0, 0, 0xf0, 0x7f), kill[:0]...),
		"unknown endpoint status 44": frame(1, append(append([]byte{}, manifest[:len(manifest)-1]...), 44)),
	} {
		_, err := serve(t, in)
		require.ErrorContains(t, err, want)
	}
}

func FuzzBatch(f *testing.F) {
	f.Add(uint32(5), bytes.Join([][]byte{provision, manifest, discovery, message, attemptEnded}, nil))
	f.Add(uint32(2), bytes.Join([][]byte{provision, message}, nil))
	f.Fuzz(func(t *testing.T, records uint32, body []byte) {
		h := NewHost()
		if _, err := h.Batch(records, 254000, body); err == nil {
			_, _ = h.Batch(1, 254100, withdrawal)
		}
		require.NotContains(t, string(h.out.data), "goroutine", "the scheduler panicked")
	})
}

func TestLargestFleetInOneBatch(t *testing.T) {
	const endpoints, messages = 1200, 6000
	list, body := unhex("07 0000 b0040000"), []byte{}
	for i := range endpoints {
		entry := binary.LittleEndian.AppendUint16(nil, uint16(i/2))
		entry = append(append(entry, make([]byte, 14)...), 10, 0, byte(i>>8), byte(i), 1, 1, 0, 0, 1)
		list = append(list, entry...)
	}
	for i := range messages {
		encoded := bytes.Clone(message)
		binary.LittleEndian.PutUint32(encoded[3:], uint32(i+1))
		binary.LittleEndian.PutUint32(encoded[34:], math.Float32bits(float32(i%(endpoints/2))))
		body = append(body, encoded...)
	}
	began := time.Now()
	out, err := serve(t, frame(3+messages, provision, list, discovery, body))
	require.NoError(t, err)
	require.Less(t, time.Since(began), 10*time.Second)
	require.Greater(t, binary.LittleEndian.Uint32(out[4:]), uint32(messages-200)) // MaxOpen is 90
}
