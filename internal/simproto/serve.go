// Package simproto hosts forwarders on the simulator's protocol: it reads batches of events, passes them to instances
// of the scheduler and writes what they decide as the records of a reply. It keeps no time of its own; every batch
// brings the clock.
//
// frames.go has the codes and the encoding of fields, serve.go the frames on a stream, host.go the batch and its
// instances, events.go the decoding of events, and records.go what an instance writes.
package simproto

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

const (
	batchHeaderBytes = 16        // length, number of records, clock
	maxBatchBytes    = 256 << 20 // with the header
	inputBufferBytes = 1 << 16
)

// Serve answers every batch read from in with one reply on out, until the end of input. An error says what was wrong
// with the batch, or is that of out.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, inputBufferBytes), bufio.NewWriter(out)
	h := NewHost()
	header := make([]byte, batchHeaderBytes)
	for {
		if _, err := io.ReadFull(r, header); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch header: %w", err)
		}
		body, err := readBody(r, binary.LittleEndian.Uint32(header))
		if err != nil {
			return err
		}
		clockMs := math.Float64frombits(binary.LittleEndian.Uint64(header[8:]))
		reply, err := h.Batch(binary.LittleEndian.Uint32(header[4:]), clockMs, body)
		if err != nil {
			return err
		}
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// readBody reads the remainder of a batch of so many bytes. Memory is taken as the bytes come, not by the stated
// length.
func readBody(r io.Reader, size uint32) ([]byte, error) {
	if size < batchHeaderBytes || size > maxBatchBytes {
		return nil, fmt.Errorf("batch length %d is out of range", size)
	}
	var body frameBody
	if _, err := io.CopyN(&body, r, int64(size-batchHeaderBytes)); err != nil {
		return nil, fmt.Errorf("batch of %d bytes is cut short: %w", size, err)
	}
	return body, nil
}

// frameBody is an io.Writer that keeps what is written.
type frameBody []byte

// Write appends p.
func (b *frameBody) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}
