// Package simproto runs forwarders in a simulator. It reads batches of events in the simulator's binary protocol,
// passes them to instances of the scheduler and writes the decisions of the scheduler as the records of a reply. The
// package has no clock; every batch contains the simulator's time.
//
// frames.go has the codes and the encoding of fields, serve.go reads and writes frames on a stream, host.go handles
// batches and instances, events.go decodes events, and records.go writes the records of an instance.
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
	maxBatchBytes    = 256 << 20 // including the header
	inputBufferBytes = 1 << 16
)

// Serve answers each batch read from in with one reply on out, until the end of input. It returns an error that
// describes an invalid batch, or an error of in or out.
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

// readBody reads the body of a batch whose total size, with the header, is size bytes. It allocates memory as bytes
// arrive instead of allocating size bytes at once, as the stated size may be wrong.
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

// frameBody is an io.Writer that collects the bytes written to it.
type frameBody []byte

// Write appends p to the collected bytes. It never fails.
func (b *frameBody) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}
