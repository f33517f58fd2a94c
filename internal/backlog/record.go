package backlog

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A segment consists of a header and records. A record consists of a header (length of the payload, checksum of the
// payload, checksum of these eight bytes) and a payload, whose first byte is the kind of the record. Because the length
// is covered by its own checksum, a record torn by a kill can be distinguished from a damaged one.
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

// The header of a segment consists of magic, version, number of the segment, length of the previous segment, greatest
// message number used so far, and checksum.
const (
	segmentSuffix        = ".backlog"
	segmentMagic         = "spanbklg"
	segmentVersion       = 1
	headerVersionOffset  = 8 // after the magic
	headerNumberOffset   = headerVersionOffset + 4
	headerPreviousOffset = headerNumberOffset + 4
	headerLastSeqOffset  = headerPreviousOffset + 4
	headerSumOffset      = headerLastSeqOffset + 8
	segmentHeaderSize    = headerSumOffset + 4
)

// The payload of a release record has a part of fixed size and a reference to each released message.
const (
	releaseFixedSize = 1 + 8 + 4 // bytes: kind, destination, tenant
	releaseRefSize   = 8 + 8 + 8 // bytes: number, hash of the id, hash of the ordering key
	// singleReleaseSize is the size of a release record for one message. Larger release records use less per message.
	singleReleaseSize = recordHeaderSize + releaseFixedSize + releaseRefSize
	maxReleased       = 512 // maximum number of messages in one release record
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is the decoded header of a segment.
type header struct {
	number   uint32
	previous uint32 // valid bytes of the previous segment
	lastSeq  uint64 // greatest message number used when the segment was created
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

// decodeHeader decodes the header of a segment. It checks the version before the checksum, as newer versions may have
// another layout.
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
		return nil, &DamageError{File: file, Reason: fmt.Sprintf("the header has the number of segment %d", h.number)}
	}
	return h, nil
}

// beginRecord appends space for a record's header, which endRecord fills in, and the kind of the record.
func beginRecord(b []byte, kind byte) []byte {
	var space [recordHeaderSize]byte
	return append(append(b, space[:]...), kind)
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

// payloadLength returns the length of the payload from a record's header. ok is false if the header is damaged.
func payloadLength(b []byte) (n int, ok bool) {
	little := binary.LittleEndian
	if little.Uint32(b[recordHeaderSumOffset:]) != crc32.Checksum(b[:recordHeaderSumOffset], castagnoli) {
		return 0, false
	}
	n = int(little.Uint32(b))
	return n, n > 0 && n <= maxPayload
}

// checkedPayload returns the payload of a complete record. ok is false if the payload fails its checksum.
func checkedPayload(b []byte) (payload []byte, ok bool) {
	payload = b[recordHeaderSize:]
	sum := binary.LittleEndian.Uint32(b[payloadChecksumOffset:])
	return payload, sum == crc32.Checksum(payload, castagnoli)
}

// encodeRelease appends a release record for messages of one lane to b.
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

// decodeRelease decodes the payload of a release record. ok is false if the payload is malformed.
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
