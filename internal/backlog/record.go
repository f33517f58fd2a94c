package backlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A segment is a header and records. A record is a header (length of the payload, checksum of the payload, checksum of
// these eight bytes) and a payload, whose first byte is its kind. As the length has a checksum of its own, a record
// that a kill has cut short can be told from one that is damaged.
const (
	segmentSuffix  = ".backlog"
	segmentMagic   = "spanbklg"
	segmentVersion = 1
	segmentHeader  = 32 // bytes: magic, version, number, length of the segment before, last number taken, checksum
	recordHeader   = 12 // bytes
	kindMessage    = 1
	kindRelease    = 2
	maxPayload     = 1 + fixedLength + 4*maxText + maxBody
	releaseFixed   = 1 + 8 + 4 // bytes: kind, destination, tenant
	releaseEach    = 8 + 8 + 8 // bytes: number, hash of the id, hash of the ordering key
	// loneRelease is what the release of one message takes at most.
	loneRelease = recordHeader + releaseFixed + releaseEach
	maxReleased = 512 // messages in one release record
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DamageError says that a file of the store is not as it was written.
type DamageError struct {
	File   string
	Offset int64 // bytes from the file's begin
	Reason string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: byte %d: %s", e.File, e.Offset, e.Reason)
}

// VersionError says that a file of the store was written by a newer program.
type VersionError struct {
	File    string
	Version uint32
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: version %d of the backlog store, this program reads up to %d", e.File, e.Version, segmentVersion)
}

var (
	// ErrFull says that the store, or the disk under it, holds as much as it may. Nothing was stored.
	ErrFull = errors.New("the backlog store is full")
	// ErrStored says that a message with this number is stored in the lane.
	ErrStored = errors.New("a message with this number is in the backlog store")
	// ErrOrder says that a message is neither newer nor older than all that its lane has stored.
	ErrOrder = errors.New("the message belongs between stored messages of its lane")
	// ErrTooLarge says that a message's body or one of its texts is larger than a record can hold.
	ErrTooLarge = errors.New("the message is too large for the backlog store")
	// ErrClosed says that the store is closed or was opened for reading alone.
	ErrClosed = errors.New("the backlog store is not open for writing")
)

type header struct {
	number   uint32
	previous uint32 // bytes of the segment before that count
	lastSeq  uint64
}

func (h *header) encode() []byte {
	little := binary.LittleEndian
	b := append(make([]byte, 0, segmentHeader), segmentMagic...)
	b = little.AppendUint32(b, segmentVersion)
	b = little.AppendUint32(b, h.number)
	b = little.AppendUint32(b, h.previous)
	b = little.AppendUint64(b, h.lastSeq)
	return little.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader reads a segment's header. The version goes before the checksum: newer ones may be laid out otherwise.
func decodeHeader(file string, number uint32, b []byte) (*header, error) {
	little := binary.LittleEndian
	if len(b) < segmentHeader || string(b[:8]) != segmentMagic {
		return nil, &DamageError{File: file, Reason: "not a segment of a backlog store"}
	}
	if v := little.Uint32(b[8:]); v > segmentVersion {
		return nil, &VersionError{File: file, Version: v}
	}
	if little.Uint32(b[28:]) != crc32.Checksum(b[:28], castagnoli) {
		return nil, &DamageError{File: file, Reason: "the header fails its checksum"}
	}
	h := &header{number: little.Uint32(b[12:]), previous: little.Uint32(b[16:]), lastSeq: little.Uint64(b[20:])}
	if h.number != number {
		return nil, &DamageError{File: file, Reason: fmt.Sprintf("the header is that of segment %d", h.number)}
	}
	return h, nil
}

// beginRecord adds room for a record's header and its kind.
func beginRecord(b []byte, kind byte) []byte {
	var room [recordHeader]byte
	return append(append(b, room[:]...), kind)
}

// endRecord fills in the header of the record that began at start.
func endRecord(b []byte, start int) {
	little := binary.LittleEndian
	payload := b[start+recordHeader:]
	little.PutUint32(b[start:], uint32(len(payload)))
	little.PutUint32(b[start+4:], crc32.Checksum(payload, castagnoli))
	little.PutUint32(b[start+8:], crc32.Checksum(b[start:start+8], castagnoli))
}

// payloadLength reads a record's header; ok is false if it is damaged.
func payloadLength(b []byte) (n int, ok bool) {
	little := binary.LittleEndian
	if little.Uint32(b[8:]) != crc32.Checksum(b[:8], castagnoli) {
		return 0, false
	}
	n = int(little.Uint32(b))
	return n, n > 0 && n <= maxPayload
}

// soundPayload gives the payload of a whole record; ok is false if it fails its checksum.
func soundPayload(b []byte) (payload []byte, ok bool) {
	payload = b[recordHeader:]
	return payload, binary.LittleEndian.Uint32(b[4:]) == crc32.Checksum(payload, castagnoli)
}

// encodeRelease adds a record that releases messages of one lane.
func encodeRelease(b []byte, lane Lane, refs []Ref) []byte {
	little := binary.LittleEndian
	start := len(b)
	b = beginRecord(b, kindRelease)
	b = little.AppendUint64(b, lane.Destination)
	b = little.AppendUint32(b, lane.Tenant)
	for _, r := range refs {
		b = little.AppendUint64(b, r.Seq)
		b = little.AppendUint64(b, r.idHash)
		b = little.AppendUint64(b, r.keyHash)
	}
	endRecord(b, start)
	return b
}

// decodeRelease reads a release record's payload; ok is false if it is none.
func decodeRelease(payload []byte) (refs []Ref, ok bool) {
	if len(payload) < releaseFixed || (len(payload)-releaseFixed)%releaseEach != 0 {
		return nil, false
	}
	little := binary.LittleEndian
	lane := Lane{Destination: little.Uint64(payload[1:]), Tenant: little.Uint32(payload[9:])}
	for b := payload[releaseFixed:]; len(b) > 0; b = b[releaseEach:] {
		refs = append(refs, Ref{Lane: lane, Seq: little.Uint64(b), idHash: little.Uint64(b[8:]), keyHash: little.Uint64(b[16:])})
	}
	return refs, true
}
