// Package transcript records the bytes on a wire in tests and compares them with a file of the package's testdata.
//
// Run the tests of a package with -update to write its files anew. The files are part of what is tested: a change of
// one is a change of bytes on a wire.
package transcript

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"spanflow/internal/golden"
)

// Transcript holds what went over a wire, in order. It is not safe for concurrent use.
type Transcript struct {
	text  strings.Builder
	masks []mask
}

type mask struct {
	pattern *regexp.Regexp
	with    string
}

// Mask has whatever matches pattern replaced by with, in everything that is added from then on. It is for values
// that differ from run to run: ports, times.
func (t *Transcript) Mask(pattern, with string) {
	t.masks = append(t.masks, mask{regexp.MustCompile(pattern), with})
}

// Note adds a line that says what happens next.
func (t *Transcript) Note(format string, args ...any) {
	fmt.Fprintf(&t.text, "# "+format+"\n", args...)
}

// Bytes adds bytes, one quoted line for each line of theirs, after the name of their sender.
func (t *Transcript) Bytes(sender string, b []byte) {
	text := string(b)
	for _, m := range t.masks {
		text = m.pattern.ReplaceAllString(text, m.with)
	}
	if text == "" {
		fmt.Fprintf(&t.text, "%s: %q\n", sender, text)
	}
	for line := range strings.Lines(text) {
		fmt.Fprintf(&t.text, "%s: %s\n", sender, strconv.QuoteToASCII(line))
	}
}

// Line adds a line as it is, after the name of its sender.
func (t *Transcript) Line(sender, line string) {
	fmt.Fprintf(&t.text, "%s: %s\n", sender, line)
}

// Compare ends the test if the transcript differs from testdata/name by as much as a byte. With -update it writes that
// file instead.
func (t *Transcript) Compare(tb testing.TB, name string) {
	tb.Helper()
	path := filepath.Join("testdata", name)
	got := t.text.String()
	if golden.Updating() {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			tb.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			tb.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if g, w := lineAt(gotLines, i), lineAt(wantLines, i); g != w {
			tb.Fatalf("%s:%d: the bytes on the wire have changed\n got %s\nwant %s", path, i+1, g, w)
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(nothing)"
}

// Command encodes a command of RESP2, an array of bulk strings.
func Command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}
