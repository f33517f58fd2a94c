package backlog

import (
	"fmt"
)

const (
	minSegmentBytes  = 256 << 10
	maxSegmentBytes  = 16 << 20
	segmentsPerStore = 64 // the default segment size is Bounds.Bytes divided by this
	segmentSizeLimit = 1 << 30
	minSegments      = 8 // Bounds.Bytes must have room for at least this many segments
	reservedSegments = 2 // kept free so that compaction can free other segments
	defaultOpenFiles = 8
)

// Bounds limits the resources of a store.
type Bounds struct {
	Bytes        int64 // maximum size of all files on disk
	SegmentBytes int64 // size of a segment; 0 means 1/64 of Bytes, but at least 256 KiB and at most 16 MiB
	OpenFiles    int   // maximum number of segments open for reading, besides the active one; 0 means 8
}

// withDefaults sets fields that are 0 to their defaults and validates all fields. An error names the invalid field.
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

// reserve returns the number of bytes that messages cannot use: the ballast and the space that compaction needs.
func (b *Bounds) reserve() int64 { return (1 + reservedSegments) * b.SegmentBytes }

// capacity returns the maximum number of bytes of live records. A quarter of the space is left for dead records, since
// with fewer of them compaction would copy too much for the space that it frees.
func (b *Bounds) capacity() int64 { return (b.Bytes - b.reserve()) / 4 * 3 }
