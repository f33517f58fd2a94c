// Package golden compares the files that a test writes with those in its package's testdata folder, byte for byte. Only
// tests import it. The files in testdata have the formats that are stored on operators' disks. Rewrite them with
// `go test -update` only together with a new version of the format.
package golden

import (
	"bytes"
	"flag"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the files in testdata")

// Updating reports whether the test runs with -update, which writes the files in testdata instead of comparing them.
// All packages that compare with files use this function, as a test binary can define a flag only once.
func Updating() bool { return *update }

const (
	dirPerm  = 0o755
	filePerm = 0o644
)

// Copy copies the folder testdata/name with its subfolders to a temporary folder of the test and returns the copy's
// path. It fails the test if the folder cannot be copied.
func Copy(t testing.TB, name string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Compare fails the test unless dir and testdata/name, with their subfolders, contain the same files with the same
// bytes. It ignores files in dir whose base name is in ignored, such as lock files with a process id. With -update it
// replaces testdata/name instead.
func Compare(t testing.TB, dir, name string, ignored ...string) {
	t.Helper()
	want := filepath.Join("testdata", name)
	got := readFiles(t, dir, ignored)
	if *update {
		replaceFiles(t, want, got)
		return
	}
	expected := readFiles(t, want, nil)
	if g, e := sortedNames(got), sortedNames(expected); !slices.Equal(g, e) {
		t.Fatalf("%s: files %q, want %q", name, g, e)
	}
	for _, file := range sortedNames(expected) {
		if at := firstDifference(got[file], expected[file]); at >= 0 {
			t.Errorf("%s/%s: differs at byte %d: got %d bytes, want %d bytes",
				name, file, at, len(got[file]), len(expected[file]))
		}
	}
}

// readFiles returns the contents of all regular files under dir by their path relative to dir.
func readFiles(t testing.TB, dir string, ignored []string) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	err := filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() || slices.Contains(ignored, entry.Name()) {
			return err
		}
		relative, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		files[filepath.ToSlash(relative)], err = os.ReadFile(path)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// replaceFiles replaces the contents of dir with the given files.
func replaceFiles(t testing.TB, dir string, files map[string][]byte) {
	t.Helper()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	for name, content := range files {
		path := filepath.Join(dir, filepath.FromSlash(name))
		if err := os.MkdirAll(filepath.Dir(path), dirPerm); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, content, filePerm); err != nil {
			t.Fatal(err)
		}
	}
}

func sortedNames(files map[string][]byte) []string { return slices.Sorted(maps.Keys(files)) }

// firstDifference returns the offset of the first byte that differs, or -1 if there is none.
func firstDifference(a, b []byte) int {
	if bytes.Equal(a, b) {
		return -1
	}
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}
