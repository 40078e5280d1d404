// Package logtrace finds one request's way in the logs of a fleet: what each entry did
// with it, and what those entries believed meanwhile.
//
// Logs are read line by line, of any number of entries in any order. Two passes are made:
// the first finds the lines that name the request, and with them the entries and endpoints
// that had to do with it; the second adds the lines of these entries, in that time, that
// say what changed in their beliefs, and those about the endpoints.
package logtrace

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

const (
	// before and after widen the time of a request: what an entry believed when the request
	// came was logged before, and an endpoint's end is told a little later.
	before = 5 * time.Second
	after  = time.Second
	// maxLine bounds a line of a log.
	maxLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At   time.Time
	VM   string
	Text string

	message string
	fields  map[string]string
}

// beliefs are the messages that say what an entry believes from then on.
var beliefs = map[string]bool{
	"started": true, "caught up": true, "stopping": true, "readiness": true,
	"store lost": true, "store regained": true, "store restored": true, "value in force": true, "value refused": true,
	"reach of data centres": true, "endpoints vanished together are kept for now": true,
}

// aboutEndpoints are the messages that name an endpoint which a request may be at.
var aboutEndpoints = map[string]bool{"endpoint leaving": true, "evacuation": true}

// endpointFields are the fields that name endpoints in the lines of a request.
var endpointFields = []string{"endpoint", "from", "to"}

// Trace reads logs and returns the lines that tell of a request, in the order of their
// times. open opens the logs anew for each pass.
func Trace(request string, open func() (io.ReadCloser, error)) ([]Line, error) {
	var own []Line
	err := scan(open, func(l Line) {
		if l.fields["request"] == request {
			own = append(own, l)
		}
	})
	if err != nil || len(own) == 0 {
		return nil, err
	}
	about := concerns(own)
	out := own
	err = scan(open, func(l Line) {
		if about.tells(l) {
			out = append(out, l)
		}
	})
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.VM, b.VM)) })
	return out, err
}

// concern is what a request had to do with.
type concern struct {
	request     string
	from, until time.Time
	vms         map[string]bool
	endpoints   map[string]bool
}

func concerns(own []Line) concern {
	c := concern{request: own[0].fields["request"], from: own[0].At, until: own[0].At, vms: map[string]bool{}, endpoints: map[string]bool{}}
	for _, l := range own {
		c.vms[l.VM] = true
		c.from = earlier(c.from, l.At.Add(-l.elapsed()))
		if l.At.After(c.until) {
			c.until = l.At
		}
		for _, f := range endpointFields {
			if id := l.fields[f]; id != "" {
				c.endpoints[id] = true
			}
		}
	}
	c.from, c.until = c.from.Add(-before), c.until.Add(after)
	return c
}

// elapsed is for how long the request had been there, if the line says so.
func (l Line) elapsed() time.Duration {
	d, err := time.ParseDuration(l.fields["elapsed_ms"] + "ms")
	if err != nil {
		return 0
	}
	return d
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// tells reports whether a line that doesn't name the request says something of its entries'
// beliefs or its endpoints in its time.
func (c concern) tells(l Line) bool {
	if l.fields["request"] != "" || !c.vms[l.VM] || l.At.Before(c.from) || l.At.After(c.until) {
		return false
	}
	return beliefs[l.message] || aboutEndpoints[l.message] && c.endpoints[l.fields["endpoint"]]
}

// scan gives each line that can be read. Others, of other programs, are passed over.
func scan(open func() (io.ReadCloser, error), each func(Line)) error {
	r, err := open()
	if err != nil {
		return err
	}
	defer r.Close()
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	for lines.Scan() {
		if l, ok := parse(lines.Text()); ok {
			each(l)
		}
	}
	return errors.Wrap(lines.Err(), "logs")
}

// parse reads a line. Collectors put words of their own before it, so it begins at its
// time.
func parse(text string) (Line, bool) {
	begin := strings.Index(text, "time=")
	if begin < 0 {
		return Line{}, false
	}
	l := Line{Text: text[begin:], fields: map[string]string{}}
	d := logfmt.NewDecoder(strings.NewReader(l.Text))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		l.fields[string(d.Key())] = string(d.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil || d.Err() != nil {
		return Line{}, false
	}
	l.At, l.VM, l.message = at, l.fields["vm"], l.fields["msg"]
	return l, true
}
