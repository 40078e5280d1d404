package scenario

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one thing wrong with a scenario file.
type Finding struct {
	File string
	// Line counts from 1.
	Line int
	// Key is the path of the key, such as fault[1].engine; the first fault is fault[0].
	Key  string
	Text string
}

// String gives the finding in the form file:line: key: text.
func (f Finding) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Text)
}

// Findings is everything wrong with a file; it is an error if not empty.
type Findings []Finding

// Error joins the findings, one a line.
func (fs Findings) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// sort orders findings as a reader of the file meets them.
func (fs Findings) sort() {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
