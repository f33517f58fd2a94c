package config

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a configuration, or worth a note.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"` // 0: it is not one line's
	Field  string `json:"field,omitempty"`
	Reason string `json:"what"`
}

// String is the problem as a line: file, line, field and reason.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	return b.String() + p.Reason
}

// Problems are all that is wrong with a configuration; as an error it is their lines.
type Problems []Problem

// Error is the lines of all problems.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "; ")
}
