// Package transcript records the bytes sent over connections in tests and compares them with files in the testdata
// folder of the package under test.
//
// Run the tests of a package with -update to rewrite its files. A changed file means that the bytes of a protocol have
// changed.
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

// Transcript contains the bytes sent over a connection, in order, and notes. It is not safe for concurrent use.
type Transcript struct {
	text  strings.Builder
	masks []mask
}

type mask struct {
	pattern     *regexp.Regexp
	replacement string
}

// Mask replaces all matches of pattern in the bytes added later. It is for values that differ between runs, such as
// ports and times.
func (t *Transcript) Mask(pattern, replacement string) {
	t.masks = append(t.masks, mask{regexp.MustCompile(pattern), replacement})
}

// Note adds a comment line that describes the next step.
func (t *Transcript) Note(format string, args ...any) {
	fmt.Fprintf(&t.text, "# "+format+"\n", args...)
}

// Bytes adds one quoted line for each line of b, preceded by the name of the sender.
func (t *Transcript) Bytes(sender string, b []byte) {
	text := string(b)
	for _, m := range t.masks {
		text = m.pattern.ReplaceAllString(text, m.replacement)
	}
	if text == "" {
		fmt.Fprintf(&t.text, "%s: %q\n", sender, text)
	}
	for line := range strings.Lines(text) {
		fmt.Fprintf(&t.text, "%s: %s\n", sender, strconv.QuoteToASCII(line))
	}
}

// Line adds a line unchanged, preceded by the name of the sender.
func (t *Transcript) Line(sender, line string) {
	fmt.Fprintf(&t.text, "%s: %s\n", sender, line)
}

// Compare fails the test if the transcript differs from testdata/name in any byte. With -update it writes the file
// instead.
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

// Command encodes a RESP2 command as an array of bulk strings.
func Command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}
