package page

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"spanflow/lab/capacity"
)

// A generated table is enclosed by two marker lines. Each is an HTML comment with the table's name.
const (
	beginPrefix = "<!-- begin generated:"
	endPrefix   = "<!-- end generated:"
	markerEnd   = "-->"
)

// Page is a page with updated generated tables.
type Page struct {
	Text     string
	Tables   []string // names of all generated tables, in the page's order
	Outdated []string // names of the tables that differed in the given text
}

// Update replaces the generated tables in a page's text. It returns an error that names the table if one is unknown,
// not closed, duplicate or missing.
func Update(text string, target *Target, results *capacity.Results) (*Page, error) {
	rendered, err := tables(target, results)
	if err != nil {
		return nil, err
	}
	page := &Page{}
	var out strings.Builder
	lines := strings.SplitAfter(text, "\n")
	for at := 0; at < len(lines); at++ {
		name, begins, err := marker(lines[at], beginPrefix)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", at+1, err)
		}
		if !begins {
			if name, ends, _ := marker(lines[at], endPrefix); ends {
				return nil, fmt.Errorf("line %d: table %q ends without a begin marker", at+1, name)
			}
			out.WriteString(lines[at])
			continue
		}
		end, err := endOf(lines, at, name)
		if err != nil {
			return nil, err
		}
		if err := page.add(name, strings.Join(lines[at+1:end], ""), rendered); err != nil {
			return nil, fmt.Errorf("line %d: %w", at+1, err)
		}
		out.WriteString(lines[at])
		out.WriteString(rendered[name])
		out.WriteString(lines[end])
		at = end
	}
	for _, name := range slices.Sorted(maps.Keys(rendered)) {
		if !slices.Contains(page.Tables, name) {
			return nil, fmt.Errorf("table %q is not on the page", name)
		}
	}
	page.Text = out.String()
	return page, nil
}

// add records a table of the page and whether it differs from the rendered one.
func (p *Page) add(name, current string, rendered map[string]string) error {
	text, known := rendered[name]
	if !known {
		return fmt.Errorf("table %q is unknown; known tables are %s", name, strings.Join(slices.Sorted(maps.Keys(rendered)), ", "))
	}
	if slices.Contains(p.Tables, name) {
		return fmt.Errorf("table %q occurs twice", name)
	}
	p.Tables = append(p.Tables, name)
	if current != text {
		p.Outdated = append(p.Outdated, name)
	}
	return nil
}

// marker returns the table's name if a line is a marker with the given prefix. It returns an error if
// the marker has no name or no end.
func marker(text, prefix string) (name string, is bool, err error) {
	text = strings.TrimSpace(text)
	rest, is := strings.CutPrefix(text, prefix)
	if !is {
		return "", false, nil
	}
	name, closed := strings.CutSuffix(rest, markerEnd)
	if name = strings.TrimSpace(name); !closed || name == "" {
		return "", true, fmt.Errorf("%q is not a complete marker", text)
	}
	return name, true, nil
}

// endOf returns the index of the line that ends the table that begins at a line.
func endOf(lines []string, begin int, name string) (int, error) {
	for at := begin + 1; at < len(lines); at++ {
		ended, is, err := marker(lines[at], endPrefix)
		if err != nil {
			return 0, fmt.Errorf("line %d: %w", at+1, err)
		}
		if is && ended == name {
			return at, nil
		}
		other, begins, _ := marker(lines[at], beginPrefix)
		if is || begins {
			return 0, fmt.Errorf("line %d: table %q is not closed before table %q", at+1, name, ended+other)
		}
	}
	return 0, fmt.Errorf("line %d: table %q has no end marker", begin+1, name)
}
