// Package table parses and validates the operators' table, which has one row per
// kind of request.
//
// The table is a CSV value with a header, of at most MaxBytes. Parse reports all
// findings with their lines and columns, and rejects a table that has any. Tables
// in another format are built with New. Rows are matched by workspace and kind; an
// exact workspace takes precedence over AnyWorkspace.
package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// MaxBytes is the size of the largest value that the platform stores.
const MaxBytes = 1 << 20

// AnyWorkspace in the workspace column matches every workspace.
const AnyWorkspace = "*"

// Limits of the columns' values.
const (
	MaxPriority = 9
	maxWeight   = 1_000_000
	maxCount    = 1_000_000
	maxTimeout  = 24 * time.Hour
)

// Columns lists the columns of the CSV table in the order of the documentation.
var Columns = []string{
	"workspace", "kind", "target", "weight", "priority",
	"max_in_flight", "max_queued", "max_queue_time", "timeout", "idempotent",
}

// Row holds the settings of one kind of request.
type Row struct {
	Workspace string
	Kind      string
	// Target is the model or plain service that answers requests of the kind.
	Target string
	// Weight is the value of one answered request.
	Weight int
	// Priority orders kinds in the queue and at the engine; higher goes first.
	Priority int
	// MaxInFlight limits the requests running at once, over all entries.
	MaxInFlight int
	// MaxQueued limits the requests queued at once, over all entries.
	MaxQueued int
	// MaxQueueTime limits the wait for admission.
	MaxQueueTime time.Duration
	// Timeout limits the whole duration of a request, from its arrival.
	Timeout time.Duration
	// Idempotent is set if requests may be repeated.
	Idempotent bool
	// Line is the row's line in the file.
	Line int

	// The fields below are not columns of the CSV table; only tables made by New have
	// them.

	// Route selects the requests that the row applies to.
	Route Route
	// Shares split the row's requests among several targets; see PickTarget.
	Shares []Share
	// MaxAttempts limits the number of endpoints that a request is sent to; zero
	// selects the default of package retry.
	MaxAttempts int
	// Objective is the latency objective for the first event of a stream, or for an answer
	// that is not streamed; zero for none.
	Objective time.Duration
	// Regions restricts the row's requests to endpoints of these regions; empty allows all.
	Regions []string
	// MaxGap is the objective for the time between two events of a stream; zero for none.
	MaxGap time.Duration
	// Streaming is set if answers are streams of events.
	Streaming bool
	// Resumable is set if another run can resume a stream after the last event that the
	// caller has received; such requests are idempotent.
	Resumable bool
	// Anonymous is set if requests need no API key.
	Anonymous bool
}

// Finding is one error in a table. Column is empty if it concerns a whole line.
type Finding struct {
	File   string
	Line   int
	Column string
	Text   string
}

// String formats the finding as file:line: column: text.
func (f Finding) String() string {
	if f.Column == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Column, f.Text)
}

// Findings is the list of all errors in a table. It implements error.
type Findings []Finding

// Error returns the findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// RowKey identifies a row.
type RowKey struct{ Workspace, Kind string }

// Table is a validated, immutable table.
type Table struct {
	rows     []Row
	rowByKey map[RowKey]int

	// Set by New only.
	rowsByHost     map[string][]int
	workspaceByKey map[apiKeyDigest]string
	workspaces     map[string]Workspace
	services       map[string]Service
}

// Rows returns a copy of the rows in the order of the file.
func (t *Table) Rows() []Row { return slices.Clone(t.rows) }

// Lookup returns the row for a workspace and kind. A row of the exact workspace takes
// precedence over one of AnyWorkspace.
func (t *Table) Lookup(workspace, kind string) (Row, bool) {
	if i, ok := t.rowByKey[RowKey{workspace, kind}]; ok {
		return t.rows[i], true
	}
	i, ok := t.rowByKey[RowKey{AnyWorkspace, kind}]
	if !ok {
		return Row{}, false
	}
	return t.rows[i], true
}

// Parse parses and validates a CSV table. The error, if any, is of type Findings.
func Parse(file string, data []byte) (*Table, error) {
	p := parser{file: file, table: &Table{rowByKey: map[RowKey]int{}}}
	p.parse(data)
	if len(p.findings) > 0 {
		return nil, p.findings
	}
	return p.table, nil
}

type parser struct {
	file        string
	findings    Findings
	table       *Table
	columnIndex map[string]int
}

func (p *parser) addFinding(line int, column, format string, args ...any) {
	p.findings = append(p.findings, Finding{p.file, line, column, fmt.Sprintf(format, args...)})
}

func (p *parser) parse(data []byte) {
	if len(data) > MaxBytes {
		p.addFinding(1, "", "%d bytes, at most %d", len(data), MaxBytes)
		return
	}
	if !utf8.Valid(data) {
		p.addFinding(1, "", "not UTF-8")
		return
	}
	r := csv.NewReader(bytes.NewReader(data))
	r.FieldsPerRecord = -1
	r.Comment = '#'
	header, err := r.Read()
	if err != nil {
		p.addFinding(1, "", "no header")
		return
	}
	if !p.readHeader(header) {
		return
	}
	p.readRows(r, len(header))
	if len(p.table.rows) == 0 && len(p.findings) == 0 {
		p.addFinding(1, "", "no rows")
	}
}

func (p *parser) readHeader(header []string) bool {
	p.columnIndex = map[string]int{}
	for i, name := range header {
		name = strings.TrimSpace(name)
		if !slices.Contains(Columns, name) {
			p.addFinding(1, name, "unknown column")
		}
		if _, duplicate := p.columnIndex[name]; duplicate {
			p.addFinding(1, name, "column given twice")
		}
		p.columnIndex[name] = i
	}
	for _, name := range Columns {
		if _, ok := p.columnIndex[name]; !ok {
			p.addFinding(1, name, "column missing")
		}
	}
	return len(p.findings) == 0
}

func (p *parser) readRows(r *csv.Reader, width int) {
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			p.addFinding(parseErr.Line, "", "%v", parseErr.Err)
			return
		}
		line, _ := r.FieldPos(0)
		if len(record) != width {
			p.addFinding(line, "", "%d fields, want %d", len(record), width)
			continue
		}
		p.readRow(line, record)
	}
}

func (p *parser) readRow(line int, record []string) {
	f := fieldReader{parser: p, line: line, record: record}
	row := Row{
		Line:         line,
		Workspace:    f.text("workspace"),
		Kind:         f.text("kind"),
		Target:       f.text("target"),
		Weight:       f.integer("weight", 1, maxWeight),
		Priority:     f.integer("priority", 0, MaxPriority),
		MaxInFlight:  f.integer("max_in_flight", 1, maxCount),
		MaxQueued:    f.integer("max_queued", 0, maxCount),
		MaxQueueTime: f.duration("max_queue_time"),
		Timeout:      f.duration("timeout"),
		Idempotent:   f.yesNo("idempotent"),
	}
	if row.Timeout > 0 && row.MaxQueueTime > row.Timeout {
		p.addFinding(line, "max_queue_time", "%v is longer than the timeout %v", row.MaxQueueTime, row.Timeout)
	}
	key := RowKey{row.Workspace, row.Kind}
	if first, duplicate := p.table.rowByKey[key]; duplicate {
		p.addFinding(line, "kind", "same workspace and kind as line %d", p.table.rows[first].Line)
		return
	}
	p.table.rowByKey[key] = len(p.table.rows)
	p.table.rows = append(p.table.rows, row)
}

// fieldReader parses the fields of one CSV record and adds a finding for each invalid
// value.
type fieldReader struct {
	parser *parser
	line   int
	record []string
}

func (f fieldReader) value(column string) string {
	return strings.TrimSpace(f.record[f.parser.columnIndex[column]])
}

func (f fieldReader) text(column string) string {
	v := f.value(column)
	if v == "" {
		f.parser.addFinding(f.line, column, "empty")
	}
	if strings.ContainsFunc(v, func(r rune) bool { return r < ' ' }) {
		f.parser.addFinding(f.line, column, "control character")
	}
	return v
}

func (f fieldReader) integer(column string, low, high int) int {
	v, err := strconv.Atoi(f.value(column))
	if err != nil {
		f.parser.addFinding(f.line, column, "%q is not a whole number", f.value(column))
		return low
	}
	if v < low || v > high {
		f.parser.addFinding(f.line, column, "%d is not within %d to %d", v, low, high)
	}
	return v
}

func (f fieldReader) duration(column string) time.Duration {
	v, err := time.ParseDuration(f.value(column))
	if err != nil {
		f.parser.addFinding(f.line, column, "%q is not a duration such as 800ms or 2m", f.value(column))
		return 0
	}
	if v <= 0 || v > maxTimeout {
		f.parser.addFinding(f.line, column, "%v is not within 0 (excluded) to %v", v, maxTimeout)
	}
	return v
}

func (f fieldReader) yesNo(column string) bool {
	switch v := f.value(column); v {
	case "yes":
		return true
	case "no":
		return false
	default:
		f.parser.addFinding(f.line, column, "%q is neither yes nor no", v)
		return false
	}
}
