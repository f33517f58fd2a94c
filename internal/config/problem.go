package config

import (
	"fmt"
	"strings"
)

// Problem is an error in a configuration, or a note on it.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"` // 0 if it concerns no single line
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

// Problems are the errors in a configuration, or the notes on it.
type Problems []Problem

// Error returns the texts of the problems, separated by semicolons.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "; ")
}
