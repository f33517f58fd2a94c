package backlog

// SegmentReport is what Verify found in a segment.
type SegmentReport struct {
	File     string `json:"file"`
	Bytes    int64  `json:"bytes"`
	Messages int    `json:"messages"` // records
	Releases int    `json:"releases"` // records
	Torn     int64  `json:"torn"`     // bytes at the end that a kill or a failed write left: no damage
	Fault    error  `json:"-"`
}

// Verify reads every segment on its own, without altering anything, and reports what is wrong in each. It is an error
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

// verify reads one segment and returns its header, nil if it has none.
func (r *SegmentReport) verify(files FS, dir string, number uint32, last bool, next *header) *header {
	o, err := openSegment(files, dir, number, last)
	if err != nil {
		r.Fault = err
		return nil
	}
	defer func() { _ = o.file.Close() }() // it is only read
	r.Bytes = o.size
	if o.header == nil {
		r.Torn = o.size
		return nil
	}
	one := &Store{dir: dir, lanes: map[Lane]*lane{}}
	var buf []byte
	r.Fault = one.replaySegment(o, next, &buf)
	if len(one.segments) == 1 {
		r.Torn = one.segments[0].excess
		r.Messages, r.Releases = one.segments[0].messages, one.segments[0].releases
	}
	return o.header
}
