package config

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a configuration, or worth a note.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"` // 0: no single line
	Field  string `json:"field,omitempty"`
	Reason string `json:"what"`
}

// String returns the problem as one line of text: file, line, field and reason.
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

// Problems is all that is wrong with a configuration; its error text has one line for each.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "; ")
}
