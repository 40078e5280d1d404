package scenario

import (
	"errors"
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/bridgehoist/bridgehoist/internal/enginemodel"
	"github.com/bridgehoist/bridgehoist/internal/experiment/policies"
	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// MaxBytes is the largest file.
const MaxBytes = 1 << 20

// Bounds of the values.
const (
	maxKinds    = 32
	maxRequests = 1_000_000
	maxTokens   = 100_000
	maxCount    = 1_000_000
	longest     = time.Hour
	maxTimeout  = 24 * time.Hour
	maxLag      = time.Minute
	// defaultReportLag is how old reports are if the file doesn't say.
	defaultReportLag = 500 * time.Millisecond
)

// Parse reads and checks a scenario. The error, if any, is of type Findings.
func Parse(file string, data []byte) (*Scenario, error) {
	if len(data) > MaxBytes {
		return nil, Findings{{File: file, Line: 1, Text: fmt.Sprintf("%d bytes, at most %d", len(data), MaxBytes)}}
	}
	var values map[string]any
	if _, err := toml.Decode(string(data), &values); err != nil {
		return nil, Findings{syntaxFinding(file, err)}
	}
	var found []finding
	sc := read(newSection("", values, &found))
	if len(found) == 0 {
		return sc, nil
	}
	return nil, placed(file, string(data), found)
}

func syntaxFinding(file string, err error) Finding {
	var syntax toml.ParseError
	if errors.As(err, &syntax) && syntax.Message != "" {
		return Finding{File: file, Line: max(syntax.Position.Line, 1), Text: "not TOML: " + syntax.Message}
	}
	return Finding{File: file, Line: 1, Text: "not TOML: " + err.Error()}
}

func placed(file, text string, found []finding) Findings {
	p := newPlaces(text)
	out := make(Findings, 0, len(found))
	for _, f := range found {
		out = append(out, Finding{File: file, Line: p.line(f.key), Key: f.key, Text: f.text})
	}
	out.sort()
	return out
}

func read(top *section) *Scenario {
	sc := &Scenario{Name: top.name("name"), About: top.text("about")}
	sc.Load = readLoad(top.table("load"))
	sc.Kinds = readKinds(top, sc.Load.Workspaces)
	sc.Fleet = readFleet(top.table("fleet"))
	sc.Engine = readEngine(top)
	sc.Faults = readFaults(top, sc)
	sc.Mixes = readMixes(top)
	sc.Policies = readPolicies(top, sc.Mixes)
	top.done()
	return sc
}

func readLoad(s *section) Load {
	mark := s.mark()
	out := Load{
		Rate:       s.number("rate", 0.01, 10_000),
		Duration:   s.duration("duration", time.Second, longest),
		Workspaces: s.texts("workspaces", 1),
	}
	// The rate doubles in the middle third.
	if n := out.Rate * out.Duration.Seconds() * 4 / 3; s.mark() == mark && n > maxRequests {
		s.addf("rate", "%.0f requests over %v, at most %d", n, out.Duration, maxRequests)
	}
	s.done()
	return out
}

func readKinds(top *section, workspaces []string) []Kind {
	if !top.has("kind") {
		top.addf("kind", "missing; want at least one [[kind]]")
		return nil
	}
	sections := top.tables("kind")
	if n := len(sections); n > maxKinds {
		top.addf("kind", "%d kinds, at most %d", n, maxKinds)
	}
	var out []Kind
	first := map[string]string{}
	for _, s := range sections {
		k := readKind(s, workspaces)
		if path, twice := first[k.Name]; twice && k.Name != "" {
			s.addf("name", "%q is the name of %s", k.Name, path)
		}
		first[k.Name] = s.path
		out = append(out, k)
	}
	return out
}

func readKind(s *section, workspaces []string) Kind {
	mark := s.mark()
	k := Kind{Kind: load.Kind{
		Name:         s.name("name"),
		Model:        Target,
		Workspaces:   workspaces,
		Share:        s.number("share", 0.0001, 1000),
		PromptTokens: s.integer("prompt_tokens", 1, maxTokens),
		OutputTokens: s.integer("output_tokens", 1, load.MaxOutputTokens),
		Spread:       s.number("spread", 0, 3),
		Urgent:       s.yesNo("urgent"),
		Weight:       s.integer("weight", 1, maxCount),
	}}
	k.Row = table.Row{
		Workspace:    table.AnyWorkspace,
		Kind:         k.Name,
		Target:       Target,
		Weight:       k.Weight,
		Priority:     s.integer("priority", 0, table.MaxPriority),
		MaxInFlight:  s.integer("max_in_flight", 1, maxCount),
		MaxQueued:    s.integer("max_queued", 0, maxCount),
		MaxQueueTime: s.duration("max_queue_time", time.Millisecond, maxTimeout),
		Timeout:      s.duration("timeout", time.Millisecond, maxTimeout),
		Idempotent:   s.yesNo("idempotent"),
	}
	if s.mark() == mark && k.Row.MaxQueueTime > k.Row.Timeout {
		s.addf("max_queue_time", "%v is longer than the timeout %v", k.Row.MaxQueueTime, k.Row.Timeout)
	}
	s.done()
	return k
}

func readFleet(s *section) Fleet {
	mark := s.mark()
	out := Fleet{
		Engines:     s.integer("engines", 1, policies.MaxEngines),
		Entries:     s.integer("entries", 1, policies.MaxEngines),
		DataCentres: s.integerOr("data_centres", 1, 1, policies.MaxEngines),
		ReportLag:   s.durationOr("report_lag", defaultReportLag, time.Millisecond, maxLag),
	}
	if s.mark() == mark && out.DataCentres > min(out.Engines, out.Entries) {
		s.addf("data_centres", "%d data centres need an engine and an entry each, there are %d and %d",
			out.DataCentres, out.Engines, out.Entries)
	}
	s.done()
	return out
}

// readEngine changes what the file names of the default engine.
func readEngine(top *section) enginemodel.Config {
	cfg := enginemodel.DefaultConfig()
	if !top.has("engine") {
		return cfg
	}
	s := top.table("engine")
	cfg.CapacityTokens = s.integerOr("capacity_tokens", cfg.CapacityTokens, 100, 100_000_000)
	cfg.MaxRunning = s.integerOr("max_running", cfg.MaxRunning, 1, 10_000)
	cfg.StepBase = s.durationOr("step_base", cfg.StepBase, time.Millisecond, 10*time.Second)
	cfg.StepPerSequence = s.durationOr("step_per_sequence", cfg.StepPerSequence, 0, time.Second)
	cfg.PrefillPerToken = s.durationOr("prefill_per_token", cfg.PrefillPerToken, 0, time.Second)
	cfg.PrefillBudget = s.integerOr("prefill_budget", cfg.PrefillBudget, 1, maxCount)
	cfg.CachePrefixes = s.integerOr("cache_prefixes", cfg.CachePrefixes, 0, 100_000)
	s.done()
	return cfg
}
