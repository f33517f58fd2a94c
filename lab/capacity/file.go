package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
)

// ReadResults reads a file of measured results. It rejects unknown fields; errors name the file.
func ReadResults(path string) (*Results, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	r := &Results{}
	if err := in.Decode(r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Write replaces a results file atomically, and creates its folder if it is missing.
func (r *Results) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// Merge replaces the curves that have the same role and quantity as a given one, and appends the other given curves.
func (r *Results) Merge(curves []Curve) {
	for _, c := range curves {
		same := func(o Curve) bool { return o.Role == c.Role && o.Quantity == c.Quantity }
		if i := slices.IndexFunc(r.Curves, same); i >= 0 {
			r.Curves[i] = c
		} else {
			r.Curves = append(r.Curves, c)
		}
	}
}

// MergeInto merges curves into a results file, which it creates if it is missing, and sets its machine and date.
func MergeInto(path, machine, date string, curves []Curve) error {
	r, err := ReadResults(path)
	if errors.Is(err, fs.ErrNotExist) {
		r, err = &Results{}, nil
	}
	if err != nil {
		return err
	}
	r.Machine, r.Date = machine, date
	r.Merge(curves)
	return r.Write(path)
}
