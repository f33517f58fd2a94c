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

// ReadResults reads a file of measured results. Unknown fields are an error that names the file.
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

// Write writes the results to a file, whole or not at all; its folder is made if it is missing.
func (r *Results) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	fresh := path + ".new"
	if err := os.WriteFile(fresh, append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(fresh, path)
}

// Merge puts curves in the place of those with the same role and quantity, and adds the others at the end.
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

// MergeInto merges curves into a results file, which is begun if it is missing, and dates it.
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
