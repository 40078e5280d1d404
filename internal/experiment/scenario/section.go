package scenario

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"
)

// names is the form of the names that a file gives.
var names = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)

// bareKey is the form of keys that need no quotes.
var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]{1,60}$`)

// section reads one table of the file. Every call names a key, checks its value and adds
// what is wrong to the findings; done reports the keys that nobody asked for. A bad count or
// duration is read as the highest, so that what is bounded by it isn't reported as well.
type section struct {
	path     string
	values   map[string]any
	known    map[string]bool
	findings *[]finding
}

// finding is one without its file and line.
type finding struct{ key, text string }

func newSection(path string, values map[string]any, findings *[]finding) *section {
	return &section{path: path, values: values, known: map[string]bool{}, findings: findings}
}

func (s *section) addf(key, format string, args ...any) {
	*s.findings = append(*s.findings, finding{join(s.path, key), fmt.Sprintf(format, args...)})
}

// has reports whether a key is given, and takes it as known.
func (s *section) has(key string) bool {
	s.known[key] = true
	_, ok := s.values[key]
	return ok
}

// mark is how many findings there are, of all sections.
func (s *section) mark() int { return len(*s.findings) }

// value gives the value of a key that must be there.
func (s *section) value(key string) (any, bool) {
	if !s.has(key) {
		s.addf(key, "missing")
		return nil, false
	}
	return s.values[key], true
}

// text reads a text that isn't empty.
func (s *section) text(key string) string {
	v, ok := s.value(key)
	if !ok {
		return ""
	}
	t, ok := v.(string)
	if !ok || strings.TrimSpace(t) == "" {
		s.addf(key, "%s, want a text that isn't empty", shown(v))
		return ""
	}
	return t
}

// name reads a name.
func (s *section) name(key string) string {
	t := s.text(key)
	if t != "" && !names.MatchString(t) {
		s.addf(key, "%q, want small letters, digits and hyphens, 64 at most", t)
	}
	return t
}

// integer reads a whole number within bounds.
func (s *section) integer(key string, low, high int) int {
	v, ok := s.value(key)
	if !ok {
		return high
	}
	n, ok := v.(int64)
	if !ok || n < int64(low) || n > int64(high) {
		s.addf(key, "%s, want a whole number from %d to %d", shown(v), low, high)
		return high
	}
	return int(n)
}

// integerOr is integer for a key that may be left out.
func (s *section) integerOr(key string, fallback, low, high int) int {
	if !s.has(key) {
		return fallback
	}
	return s.integer(key, low, high)
}

// number reads a number within bounds.
func (s *section) number(key string, low, high float64) float64 {
	v, ok := s.value(key)
	if !ok {
		return low
	}
	x := math.NaN()
	switch n := v.(type) {
	case int64:
		x = float64(n)
	case float64:
		x = n
	}
	if !(x >= low && x <= high) {
		s.addf(key, "%s, want a number from %g to %g", shown(v), low, high)
		return low
	}
	return x
}

// duration reads a duration within bounds, such as "90s".
func (s *section) duration(key string, low, high time.Duration) time.Duration {
	v, ok := s.value(key)
	if !ok {
		return high
	}
	t, _ := v.(string)
	d, err := time.ParseDuration(t)
	if err != nil || d < low || d > high {
		s.addf(key, "%s, want a duration from %q to %q", shown(v), low, high)
		return high
	}
	return d
}

// durationOr is duration for a key that may be left out.
func (s *section) durationOr(key string, fallback, low, high time.Duration) time.Duration {
	if !s.has(key) {
		return fallback
	}
	return s.duration(key, low, high)
}

// yesNo reads true or false.
func (s *section) yesNo(key string) bool {
	v, ok := s.value(key)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		s.addf(key, "%s, want true or false", shown(v))
	}
	return b
}

// texts reads a list of different texts, at least low of them; what is no text is empty in
// the result.
func (s *section) texts(key string, low int) []string {
	v, ok := s.value(key)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok || len(list) < low {
		s.addf(key, "%s, want a list of at least %d texts", shown(v), low)
		return nil
	}
	var out []string
	for i, x := range list {
		t, ok := x.(string)
		element := fmt.Sprintf("%s[%d]", key, i)
		switch {
		case !ok || strings.TrimSpace(t) == "":
			s.addf(element, "%s, want a text that isn't empty", shown(x))
			t = ""
		case slices.Contains(out, t):
			s.addf(element, "%q is given twice", t)
		}
		out = append(out, t)
	}
	return out
}

// table reads a table.
func (s *section) table(key string) *section {
	v, ok := s.value(key)
	values, isTable := v.(map[string]any)
	if ok && !isTable {
		s.addf(key, "%s, want a table [%s]", shown(v), key)
	}
	t := newSection(join(s.path, key), values, s.findings)
	if !isTable {
		// Its keys would all be reported as missing.
		t.findings = new([]finding)
	}
	return t
}

// tables reads an array of tables.
func (s *section) tables(key string) []*section {
	if !s.has(key) {
		return nil
	}
	list, ok := arrayOfTables(s.values[key])
	if !ok {
		s.addf(key, "%s, want tables [[%s]]", shown(s.values[key]), key)
		return nil
	}
	var out []*section
	for i, values := range list {
		out = append(out, newSection(fmt.Sprintf("%s[%d]", join(s.path, key), i), values, s.findings))
	}
	return out
}

// arrayOfTables takes both forms: [[key]] and key = [{...}, {...}].
func arrayOfTables(v any) ([]map[string]any, bool) {
	if list, ok := v.([]map[string]any); ok {
		return list, true
	}
	list, ok := v.([]any)
	if !ok {
		return nil, false
	}
	var out []map[string]any
	for _, x := range list {
		values, ok := x.(map[string]any)
		if !ok {
			return nil, false
		}
		out = append(out, values)
	}
	return out, true
}

// done reports the keys that nobody asked for.
func (s *section) done() {
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !s.known[key] {
			s.addf(bare(key), "unknown; the keys here are %s", strings.Join(slices.Sorted(maps.Keys(s.known)), ", "))
		}
	}
}

// bare gives a key as a file would write it.
func bare(key string) string {
	if bareKey.MatchString(key) {
		return key
	}
	return shown(key)
}

// shown gives a value in a finding, cut short.
func shown(v any) string {
	const longest = 60
	text := strings.ReplaceAll(fmt.Sprint(v), "\n", " ")
	if s, ok := v.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if runes := []rune(text); len(runes) > longest {
		text = string(runes[:longest]) + "..."
	}
	return text
}
