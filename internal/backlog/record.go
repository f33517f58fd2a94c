package backlog

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A segment is a header and records. A record is a header (length of the payload, checksum of the payload, checksum of
// these eight bytes) and a payload, whose first byte is its kind. As the length has a checksum of its own, a record
// that a kill has cut short can be told from one that is damaged.
const (
	recordHeaderSize      = 12 // bytes
	payloadChecksumOffset = 4
	recordHeaderSumOffset = 8
	maxPayload            = 1 + messageFixedSize + messageTexts*maxTextLength + maxBodyLength
)

// The kinds of records.
const (
	kindMessage = 1
	kindRelease = 2
)

// A segment's header: magic, version, number, length of the segment before, last number used, checksum.
const (
	segmentSuffix        = ".backlog"
	segmentMagic         = "spanbklg"
	segmentVersion       = 1
	headerVersionOffset  = 8 // behind the magic
	headerNumberOffset   = headerVersionOffset + 4
	headerPreviousOffset = headerNumberOffset + 4
	headerLastSeqOffset  = headerPreviousOffset + 4
	headerSumOffset      = headerLastSeqOffset + 8
	segmentHeaderSize    = headerSumOffset + 4
)

// The payload of a release.
const (
	releaseFixedSize = 1 + 8 + 4 // bytes: kind, destination, tenant
	releaseRefSize   = 8 + 8 + 8 // bytes: number, hash of the id, hash of the ordering key
	// singleReleaseSize is what the release of one message takes at most.
	singleReleaseSize = recordHeaderSize + releaseFixedSize + releaseRefSize
	maxReleased       = 512 // messages in one release record
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is the content of a segment's header.
type header struct {
	number   uint32
	previous uint32 // bytes of the segment before that count
	lastSeq  uint64
}

func (h *header) encode() []byte {
	little := binary.LittleEndian
	b := append(make([]byte, 0, segmentHeaderSize), segmentMagic...)
	b = little.AppendUint32(b, segmentVersion)
	b = little.AppendUint32(b, h.number)
	b = little.AppendUint32(b, h.previous)
	b = little.AppendUint64(b, h.lastSeq)
	return little.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader reads a segment's header. The version is checked before the checksum: newer versions may have another
// layout.
func decodeHeader(file string, number uint32, b []byte) (*header, error) {
	little := binary.LittleEndian
	if len(b) < segmentHeaderSize || string(b[:headerVersionOffset]) != segmentMagic {
		return nil, &DamageError{File: file, Reason: "not a segment of a backlog store"}
	}
	if v := little.Uint32(b[headerVersionOffset:]); v > segmentVersion {
		return nil, &VersionError{File: file, Version: v}
	}
	if little.Uint32(b[headerSumOffset:]) != crc32.Checksum(b[:headerSumOffset], castagnoli) {
		return nil, &DamageError{File: file, Reason: "the header fails its checksum"}
	}
	h := &header{
		number:   little.Uint32(b[headerNumberOffset:]),
		previous: little.Uint32(b[headerPreviousOffset:]),
		lastSeq:  little.Uint64(b[headerLastSeqOffset:]),
	}
	if h.number != number {
		return nil, &DamageError{File: file, Reason: fmt.Sprintf("the header is that of segment %d", h.number)}
	}
	return h, nil
}

// beginRecord appends room for a record's header, and its kind.
func beginRecord(b []byte, kind byte) []byte {
	var room [recordHeaderSize]byte
	return append(append(b, room[:]...), kind)
}

// endRecord fills in the header of the record that began at start.
func endRecord(b []byte, start int) {
	little := binary.LittleEndian
	payload := b[start+recordHeaderSize:]
	little.PutUint32(b[start:], uint32(len(payload)))
	little.PutUint32(b[start+payloadChecksumOffset:], crc32.Checksum(payload, castagnoli))
	headerSum := crc32.Checksum(b[start:start+recordHeaderSumOffset], castagnoli)
	little.PutUint32(b[start+recordHeaderSumOffset:], headerSum)
}

// payloadLength reads a record's header; ok is false if it is damaged.
func payloadLength(b []byte) (n int, ok bool) {
	little := binary.LittleEndian
	if little.Uint32(b[recordHeaderSumOffset:]) != crc32.Checksum(b[:recordHeaderSumOffset], castagnoli) {
		return 0, false
	}
	n = int(little.Uint32(b))
	return n, n > 0 && n <= maxPayload
}

// checkedPayload returns the payload of a whole record; ok is false if it fails its checksum.
func checkedPayload(b []byte) (payload []byte, ok bool) {
	payload = b[recordHeaderSize:]
	sum := binary.LittleEndian.Uint32(b[payloadChecksumOffset:])
	return payload, sum == crc32.Checksum(payload, castagnoli)
}

// encodeRelease appends a record that releases messages of one lane.
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

// decodeRelease reads a release record's payload; ok is false if it is malformed.
func decodeRelease(payload []byte) (refs []Ref, ok bool) {
	if len(payload) < releaseFixedSize || (len(payload)-releaseFixedSize)%releaseRefSize != 0 {
		return nil, false
	}
	little := binary.LittleEndian
	lane := Lane{Destination: little.Uint64(payload[1:]), Tenant: little.Uint32(payload[9:])}
	for b := payload[releaseFixedSize:]; len(b) > 0; b = b[releaseRefSize:] {
		ref := Ref{Lane: lane, Seq: little.Uint64(b), idHash: little.Uint64(b[8:]), keyHash: little.Uint64(b[16:])}
		refs = append(refs, ref)
	}
	return refs, true
}
