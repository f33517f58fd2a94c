package backlog

import (
	"fmt"
)

const (
	minSegmentBytes  = 256 << 10
	maxSegmentBytes  = 16 << 20
	segmentsPerStore = 64 // a segment is this part of the bound if no size is given
	segmentSizeLimit = 1 << 30
	minSegments      = 8 // that the bound must have room for
	reservedSegments = 2 // kept free so that segments can be freed
	defaultOpenFiles = 8 // segments open for reading at once if no number is given
)

// Bounds limits the resources of a store.
type Bounds struct {
	Bytes        int64 // on disk, all files counted
	SegmentBytes int64 // of one segment; 0: a 64th of Bytes, at least 256 KiB and at most 16 MiB
	OpenFiles    int   // segments open for reading at once, beside the one written to and the lock; 0: 8
}

// withDefaults fills in the fields that are not given and checks the rest. An error names the field.
func (b Bounds) withDefaults() (Bounds, error) {
	if b.SegmentBytes == 0 {
		b.SegmentBytes = min(max(b.Bytes/segmentsPerStore, minSegmentBytes), maxSegmentBytes)
	}
	if b.OpenFiles == 0 {
		b.OpenFiles = defaultOpenFiles
	}
	switch {
	case b.SegmentBytes < 2*segmentHeaderSize || b.SegmentBytes > segmentSizeLimit:
		return b, fmt.Errorf("segment_bytes: %d is not between %d and %d",
			b.SegmentBytes, 2*segmentHeaderSize, segmentSizeLimit)
	case b.Bytes < minSegments*b.SegmentBytes:
		return b, fmt.Errorf("bytes: %d is less than %d segments of %d", b.Bytes, minSegments, b.SegmentBytes)
	case b.OpenFiles < 1:
		return b, fmt.Errorf("open_files: %d is less than 1", b.OpenFiles)
	}
	return b, nil
}

// reserve returns the bytes that are kept free of messages: the ballast, and room to free a segment.
func (b *Bounds) reserve() int64 { return (1 + reservedSegments) * b.SegmentBytes }

// capacity returns how many bytes of live records are stored at most: with less than a quarter of garbage, compaction
// would copy too much for what it frees.
func (b *Bounds) capacity() int64 { return (b.Bytes - b.reserve()) / 4 * 3 }
