package scenario

import (
	"fmt"
	"strings"
)

// places holds the line of each key of a TOML file by its path. The keys of inline
// tables, and quoted ones with points or equals signs, have none; line gives that of the key
// around them.
type places struct {
	lines map[string]int
	// counts holds how many elements each array of tables has so far.
	counts map[string]int
	table  string
}

// newPlaces reads a file that is known to be good TOML.
func newPlaces(text string) *places {
	p := &places{lines: map[string]int{}, counts: map[string]int{}}
	line := 1
	for text != "" {
		end := statementEnd(text)
		p.statement(strings.TrimSpace(text[:end]), line+leadingLines(text[:end]))
		line += strings.Count(text[:end], "\n")
		text = text[end:]
	}
	return p
}

func leadingLines(s string) int {
	blank := s[:len(s)-len(strings.TrimLeft(s, " \t\r\n"))]
	return strings.Count(blank, "\n")
}

func (p *places) statement(s string, line int) {
	switch {
	case s == "" || s[0] == '#':
	case strings.HasPrefix(s, "[["):
		name, _, _ := strings.Cut(s[2:], "]]")
		path := p.resolve(keys(name))
		p.table = fmt.Sprintf("%s[%d]", path, p.counts[path])
		p.counts[path]++
		p.set(path, line)
		p.set(p.table, line)
	case s[0] == '[':
		name, _, _ := strings.Cut(s[1:], "]")
		p.table = p.resolve(keys(name))
		p.set(p.table, line)
	default:
		name, _, _ := strings.Cut(s, "=")
		p.set(join(p.table, strings.Join(keys(name), ".")), line)
	}
}

// set keeps the first line of a key.
func (p *places) set(path string, line int) {
	if p.lines[path] == 0 {
		p.lines[path] = line
	}
}

// resolve gives the path of a table's name: an array of tables stands for its last element.
func (p *places) resolve(names []string) string {
	path := ""
	for i, name := range names {
		path = join(path, name)
		if n := p.counts[path]; n > 0 && i < len(names)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// line gives the line of a key, or of the nearest one around it that has one.
func (p *places) line(path string) int {
	for path != "" {
		if n := p.lines[path]; n > 0 {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// keys splits a dotted key. Quotes stay where they are needed.
func keys(name string) []string {
	parts := strings.Split(name, ".")
	for i, part := range parts {
		parts[i] = strings.TrimSpace(part)
		if plain := strings.Trim(parts[i], `"'`); bareKey.MatchString(plain) {
			parts[i] = plain
		}
	}
	return parts
}

// statementEnd finds where a statement ends: at the line's end outside of strings and
// brackets.
func statementEnd(s string) int {
	depth := 0
	for i := 0; i < len(s); {
		switch s[i] {
		case '\n':
			if depth <= 0 {
				return i + 1
			}
			i++
		case '#':
			i += toLineEnd(s[i:])
		case '"', '\'':
			i += stringLength(s[i:])
		case '[', '{':
			depth++
			i++
		case ']', '}':
			depth--
			i++
		default:
			i++
		}
	}
	return len(s)
}

func toLineEnd(s string) int {
	if i := strings.IndexByte(s, '\n'); i >= 0 {
		return i
	}
	return len(s)
}

// stringLength gives the length of the string that s begins with, its quotes included.
func stringLength(s string) int {
	quote := s[:1]
	if long := strings.Repeat(quote, 3); strings.HasPrefix(s, long) {
		quote = long
	}
	for i := len(quote); i < len(s); i++ {
		if s[i] == '\\' && quote[0] == '"' {
			i++
			continue
		}
		if strings.HasPrefix(s[i:], quote) {
			return i + len(quote)
		}
	}
	return len(s)
}
