package backlog

// SegmentReport has the findings of Verify for one segment.
type SegmentReport struct {
	File     string `json:"file"`
	Bytes    int64  `json:"bytes"`
	Messages int    `json:"messages"` // number of message records
	Releases int    `json:"releases"` // number of release records
	Torn     int64  `json:"torn"`     // bytes at the end left by a kill or a failed write; these are not damage
	Fault    error  `json:"-"`        // nil if the segment is not damaged
}

// Verify reads every segment separately, without changing anything, and reports the faults of each. It returns an error
// if a segment between others is missing or the folder cannot be read.
func Verify(files FS, dir string) ([]SegmentReport, error) {
	numbers, err := listSegments(files, dir)
	if err != nil {
		return nil, err
	}
	reports := make([]SegmentReport, len(numbers))
	var next *header
	for i := len(numbers) - 1; i >= 0; i-- {
		reports[i].File = segmentName(dir, numbers[i])
		next = reports[i].verify(files, dir, numbers[i], i == len(numbers)-1, next)
	}
	return reports, nil
}

// verify reads one segment and returns its header, or nil if the header is missing or damaged. next is the header of
// the following segment.
func (r *SegmentReport) verify(files FS, dir string, number uint32, last bool, next *header) *header {
	o, err := openSegment(files, dir, number, last)
	if err != nil {
		r.Fault = err
		return nil
	}
	defer func() { _ = o.file.Close() }() // opened only for reading, so errors do not matter
	r.Bytes = o.size
	if o.header == nil {
		r.Torn = o.size
		return nil
	}
	scratch := &Store{dir: dir, lanes: map[Lane]*lane{}}
	var buf []byte
	r.Fault = scratch.replaySegment(o, next, &buf)
	if len(scratch.segments) == 1 {
		r.Torn = scratch.segments[0].excess
		r.Messages, r.Releases = scratch.segments[0].messages, scratch.segments[0].releases
	}
	return o.header
}
