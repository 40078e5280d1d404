package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// Class is what became of a request, as its caller saw it.
type Class string

// The classes.
const (
	Answered   Class = "answered"
	NotRun     Class = "not_run"
	MayHaveRun Class = "may_have_run"
	Incomplete Class = "incomplete"
	// Broken answers were cut, crossed, doubled or out of order.
	Broken Class = "broken"
)

// Record is one request that has ended.
type Record struct {
	Kind   string
	Weight int
	Class  Class
	Code   string
	// Hash identifies the request at the stand-ins.
	Hash        string
	Ticket      bool
	Stall       time.Duration
	FirstToken  time.Duration
	Gaps        []time.Duration
	Preemptions int
	Attempts    int
	Detail      string
}

// Quantiles of a measure, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// QuantilesOf computes quantiles; the input is sorted in place.
func QuantilesOf(ds []time.Duration) Quantiles {
	if len(ds) == 0 {
		return Quantiles{}
	}
	slices.Sort(ds)
	at := func(q float64) float64 {
		i := min(int(q*float64(len(ds))), len(ds)-1)
		return float64(ds[i].Microseconds()) / 1000
	}
	return Quantiles{at(0.5), at(0.95), at(0.99), at(1)}
}

// KindResult sums up one kind.
type KindResult struct {
	Kind        string         `json:"kind"`
	Sent        int            `json:"sent"`
	Classes     map[Class]int  `json:"classes"`
	Codes       map[string]int `json:"codes,omitempty"`
	Weighted    int            `json:"weighted_answered"`
	Preemptions int            `json:"preemptions"`
	Stall       Quantiles      `json:"stall_ms"`
	FirstToken  Quantiles      `json:"first_token_ms"`
	Gap         Quantiles      `json:"token_gap_ms"`
}

// Result sums up a run.
type Result struct {
	Seed  uint64       `json:"seed"`
	Kinds []KindResult `json:"kinds"`
	// Faults are the broken promises, in words.
	Faults []string `json:"faults"`
}

// Summarize makes the result of records.
func Summarize(seed uint64, records []Record) Result {
	byKind := map[string][]Record{}
	for _, r := range records {
		byKind[r.Kind] = append(byKind[r.Kind], r)
	}
	names := make([]string, 0, len(byKind))
	for name := range byKind {
		names = append(names, name)
	}
	sort.Strings(names)
	out := Result{Seed: seed}
	for _, name := range names {
		out.Kinds = append(out.Kinds, summarizeKind(name, byKind[name]))
	}
	for _, r := range records {
		if r.Class == Broken {
			out.Faults = append(out.Faults, fmt.Sprintf("%s %s: %s", r.Kind, r.Hash, r.Detail))
		}
	}
	return out
}

func summarizeKind(name string, records []Record) KindResult {
	out := KindResult{Kind: name, Sent: len(records), Classes: map[Class]int{}, Codes: map[string]int{}}
	var stalls, firsts, gaps []time.Duration
	for _, r := range records {
		out.Classes[r.Class]++
		out.Preemptions += r.Preemptions
		if r.Class != Answered {
			out.Codes[r.Code]++
			continue
		}
		out.Weighted += r.Weight
		stalls = append(stalls, r.Stall)
		firsts = append(firsts, r.FirstToken)
		gaps = append(gaps, r.Gaps...)
	}
	out.Stall = QuantilesOf(stalls)
	out.FirstToken = QuantilesOf(firsts)
	out.Gap = QuantilesOf(gaps)
	return out
}

// CheckRuns compares what callers were told with how often each request ran.
func CheckRuns(records []Record, runs map[string]int) []string {
	var faults []string
	for _, r := range records {
		n := runs[r.Hash]
		switch {
		case r.Ticket && n > 1:
			faults = append(faults, fmt.Sprintf("%s %s ran %d times", r.Kind, r.Hash, n))
		case r.Class == NotRun && n > 0:
			faults = append(faults, fmt.Sprintf("%s %s was told not run, but ran", r.Kind, r.Hash))
		case r.Class == Answered && n == 0:
			faults = append(faults, fmt.Sprintf("%s %s was answered without a run", r.Kind, r.Hash))
		}
	}
	return faults
}

// WriteText prints a result as a table.
func (r Result) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d\n", r.Seed)
	fmt.Fprintf(w, "%-16s %5s %8s %7s %7s %7s %6s %7s | %s | %s | %s\n", "kind", "sent", "answered",
		"not_run", "unknown", "incompl", "broken", "preempt", head("stall ms"), head("first token ms"), head("token gap ms"))
	for _, k := range r.Kinds {
		fmt.Fprintf(w, "%-16s %5d %8d %7d %7d %7d %6d %7d | %s | %s | %s\n", k.Kind, k.Sent, k.Classes[Answered],
			k.Classes[NotRun], k.Classes[MayHaveRun], k.Classes[Incomplete], k.Classes[Broken], k.Preemptions,
			k.Stall.text(), k.FirstToken.text(), k.Gap.text())
		for _, code := range slices.Sorted(maps.Keys(k.Codes)) {
			fmt.Fprintf(w, "%-16s %5d not answered: %s\n", "", k.Codes[code], code)
		}
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, "FAULT", f)
	}
}

func head(title string) string {
	return fmt.Sprintf("%-31s", title+strings.Repeat(" ", 2)+"p50/95/99/max")
}

func (q Quantiles) text() string {
	return fmt.Sprintf("%7.0f %7.0f %7.0f %7.0f", q.P50, q.P95, q.P99, q.Max)
}
