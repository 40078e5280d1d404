package logtrace

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// recently is for how long an endpoint that leaves is told of, which has ended by then, and a
// connection that died, which has been replaced by then.
const recently = 10 * time.Second

// Fact is one thing that an entry believed, and the line that says so.
type Fact struct {
	// About names the thing: process, store, table, fleet, reach, readiness, leaving, limit,
	// pause, or one of those below.
	About string
	// Says tells it in words.
	Says string
	Line Line
}

// Belief is what an entry believed at a time, as far as its log tells.
type Belief struct {
	VM string
	At time.Time
	// From and Until are the times of the first and last line of the entry in the logs.
	From, Until time.Time
	// Facts are in a fixed order; what no line tells is missing.
	Facts []Fact
}

// Fact gives the fact about a thing, if a line tells it.
func (b *Belief) Fact(about string) (Fact, bool) {
	i := slices.IndexFunc(b.Facts, func(f Fact) bool { return f.About == about })
	if i < 0 {
		return Fact{}, false
	}
	return b.Facts[i], true
}

// factOrder is the order in which facts are told.
var factOrder = []string{"process", "store", aboutRestore, "table", aboutRefused, aboutPeerConnections, "fleet", "reach", "readiness", "leaving", aboutLimit, aboutPause}

// What may keep a table from coming into force.
const (
	aboutRestore         = "store restored"
	aboutRefused         = "table refused"
	aboutPeerConnections = "peer connections"
)

// What endpoints say of how much they take.
const (
	aboutLimit = "limit"
	aboutPause = "pause"
)

// Believed reads logs and returns what an entry believed at a time. It is nil if no line is
// of that entry.
func Believed(vm string, at time.Time, open func() (io.ReadCloser, error)) (*Belief, error) {
	b := &Belief{VM: vm, At: at}
	// The lines of several files may be in any order, so the latest is kept for each key.
	latest := map[string]Fact{}
	err := scan(open, func(l Line) {
		if l.VM != vm {
			return
		}
		b.saw(l.At)
		key, f, ok := factOf(l)
		if !ok || l.At.After(at) {
			return
		}
		if old, known := latest[key]; !known || !l.At.Before(old.Line.At) {
			latest[key] = f
		}
	})
	if err != nil || b.From.IsZero() {
		return nil, err
	}
	for _, f := range latest {
		if f.holds(at) {
			b.Facts = append(b.Facts, f)
		}
	}
	slices.SortFunc(b.Facts, func(x, y Fact) int {
		return cmp.Or(
			cmp.Compare(slices.Index(factOrder, x.About), slices.Index(factOrder, y.About)),
			x.Line.At.Compare(y.Line.At),
			cmp.Compare(x.Says, y.Says),
		)
	})
	return b, nil
}

// holds reports whether a fact still holds at a time after its line.
func (f Fact) holds(at time.Time) bool {
	since := at.Sub(f.Line.At)
	switch f.About {
	case "leaving", aboutPeerConnections:
		return since <= recently
	case aboutLimit:
		return f.Line.fields["per_second"] != "none"
	case aboutPause:
		lasts, err := time.ParseDuration(f.Line.fields["lasts"])
		return err == nil && since <= lasts
	default:
		return true
	}
}

func (b *Belief) saw(at time.Time) {
	if b.From.IsZero() || at.Before(b.From) {
		b.From = at
	}
	if at.After(b.Until) {
		b.Until = at
	}
}

// factOf reads a fact from a line. Of facts with the same key the latest holds.
func factOf(l Line) (key string, f Fact, ok bool) {
	f = Fact{Line: l}
	switch l.message {
	case "started", "caught up", "stopping":
		f.About, f.Says = "process", l.message
	case "store lost":
		f.About, f.Says = "store", "out of reach: "+l.fields["error"]
	case "store regained":
		f.About, f.Says = "store", "in reach again after "+l.fields["away"]
	case "store restored":
		f.About, f.Says = aboutRestore, fmt.Sprintf("it came back from a copy, at %s after %s", l.fields["revision"], l.fields["before"])
	case "value refused":
		if l.fields["name"] != "table" {
			return "", f, false
		}
		f.About, f.Says = aboutRefused, fmt.Sprintf("revision %s, from %s, was not taken (%s)", l.fields["revision"], l.fields["source"], l.fields["verdict"])
	case "peer connection timed out":
		f.About, f.Says = aboutPeerConnections, "an exchange with "+l.fields["peer"]+", which passes on tables, timed out on an open connection"
	case "value in force":
		f.About, f.Says = l.fields["name"], valueSays(l.fields)
	case "reach of data centres":
		f.About, f.Says = "reach", reachSays(l.fields)
	case "readiness":
		f.About, f.Says = "readiness", readinessSays(l.fields)
	case "endpoint leaving":
		f.About, f.Says = "leaving", leavingSays(l.fields)
		return "leaving " + l.fields["endpoint"], f, true
	case "endpoint limit":
		f.About, f.Says = aboutLimit, limitSays(l.fields)
		return "limit of " + l.fields["endpoint"], f, true
	case "endpoint wants a pause":
		f.About, f.Says = aboutPause, pauseSays(l.fields)
		return "pause of " + l.fields["endpoint"], f, true
	default:
		return "", f, false
	}
	return f.About, f, slices.Contains(factOrder, f.About)
}

func valueSays(fields map[string]string) string {
	return fmt.Sprintf("revision %s, from %s", fields["revision"], fields["source"])
}

func reachSays(fields map[string]string) string {
	lost := strings.Trim(fields["lost"], "[]")
	if lost == "" {
		return "all data centres are in reach"
	}
	if fields["cut_off"] == "true" {
		return "data centres out of reach: " + lost + "; this one is cut off"
	}
	return "data centres out of reach: " + lost
}

func readinessSays(fields map[string]string) string {
	says := fields["state"]
	if unservable := strings.Trim(fields["unservable"], "[]"); unservable != "" {
		says += "; no endpoint in reach for " + unservable
	}
	return says
}

func leavingSays(fields map[string]string) string {
	from := map[string]string{"fleet": "the store", "endpoint": "the endpoint itself", "peer": "another entry"}
	source := cmp.Or(from[fields["source"]], fields["source"])
	return fmt.Sprintf("endpoint %s ends, by %s", fields["endpoint"], source)
}

func limitSays(fields map[string]string) string {
	return fmt.Sprintf("endpoint %s takes %s requests a second of all entries", fields["endpoint"], fields["per_second"])
}

func pauseSays(fields map[string]string) string {
	return fmt.Sprintf("endpoint %s refused a request and wants nothing from this entry for %s", fields["endpoint"], fields["lasts"])
}
