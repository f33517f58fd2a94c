package simproto

import (
	"encoding/binary"
	"errors"
	"math"
)

// eventCode is the first byte of an event in a batch. The comments give the event's name in the protocol description.
type eventCode uint8

const (
	eventEndpoints   eventCode = iota // Discovery
	eventResult                       // AttemptEnd
	eventWithdrawn                    // Withdrawn
	eventEstablished                  // Established; not used
	eventKill                         // Kill
	eventNeighbour                    // NeighbourSays; not used
	eventProvision                    // Provision
	eventList                         // Manifest
	eventSampled                      // Sampled; not used
	eventTimer                        // TickDue
	eventMessage                      // Demand
	eventCodes                        // number of codes
)

// recordCode is the first byte of a record in a reply. The comments give the record's name in the protocol description.
type recordCode uint8

const (
	recordSend      recordCode = 0  // Try
	recordReject    recordCode = 1  // Decline
	recordFail      recordCode = 2  // Lose
	recordWake      recordCode = 4  // After
	recordCloseIdle recordCode = 6  // ShutIdle
	recordLog       recordCode = 8  // Debug
	recordPanic     recordCode = 9  // Broken
	recordWatch     recordCode = 10 // Tail
)

const (
	listEntryBytes   = 25
	replyHeaderBytes = 8 // length, number of records
	maxTextBytes     = 4000
	msPerSecond      = 1000
)

var (
	errShort     = errors.New("a field exceeds the frame")
	errNotFinite = errors.New("a number is not finite")
)

// reader reads little-endian fields from the body of a batch. The first field that exceeds the body sets err; all later
// fields read as zero.
type reader struct {
	data []byte
	err  error
}

// take returns the next n bytes. On an error it returns n zero bytes if n is the size of a number, otherwise nil.
func (r *reader) take(n uint64) []byte {
	if r.err != nil || n > uint64(len(r.data)) {
		r.err = errShort
		if n > 8 {
			return nil
		}
		return make([]byte, n)
	}
	v := r.data[:n]
	r.data = r.data[n:]
	return v
}

func (r *reader) u8() uint8    { return r.take(1)[0] }
func (r *reader) u16() uint16  { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32  { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64  { return binary.LittleEndian.Uint64(r.take(8)) }
func (r *reader) f32() float64 { return float64(math.Float32frombits(r.u32())) }

// f64 reads a time or another number. A value that is not finite is an error.
func (r *reader) f64() float64 {
	v := math.Float64frombits(r.u64())
	if r.err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		r.err = errNotFinite
	}
	return v
}

// address reads an IPv4 address and a port and packs them into one number.
func (r *reader) address() uint64 {
	b := r.take(6)
	return uint64(binary.LittleEndian.Uint32(b)) | uint64(binary.LittleEndian.Uint16(b[4:]))<<32
}

// writer appends records with little-endian fields to a reply.
type writer struct {
	data    []byte
	records uint32
}

// reset starts a new reply and leaves space for its header.
func (w *writer) reset() {
	w.data = append(w.data[:0], make([]byte, replyHeaderBytes)...)
	w.records = 0
}

// frame fills in the header and returns the reply, which is valid until the next reset.
func (w *writer) frame() []byte {
	binary.LittleEndian.PutUint32(w.data, uint32(len(w.data)))
	binary.LittleEndian.PutUint32(w.data[4:], w.records)
	return w.data
}

// record starts a record of an instance.
func (w *writer) record(code recordCode, instance uint16) {
	w.records++
	w.u8(uint8(code))
	w.u16(instance)
}

func (w *writer) u8(v uint8)   { w.data = append(w.data, v) }
func (w *writer) u16(v uint16) { w.data = binary.LittleEndian.AppendUint16(w.data, v) }
func (w *writer) u32(v uint32) { w.data = binary.LittleEndian.AppendUint32(w.data, v) }
func (w *writer) u64(v uint64) { w.data = binary.LittleEndian.AppendUint64(w.data, v) }

// ms writes a time given in seconds as milliseconds.
func (w *writer) ms(seconds float64) { w.u64(math.Float64bits(seconds * msPerSecond)) }

// text writes the length of a text and the text, truncated to maxTextBytes.
func (w *writer) text(s string) {
	s = s[:min(len(s), maxTextBytes)]
	w.u16(uint16(len(s)))
	w.data = append(w.data, s...)
}

// address writes an address and a port packed by reader.address.
func (w *writer) address(a uint64) {
	w.u32(uint32(a))
	w.u16(uint16(a >> 32))
}
