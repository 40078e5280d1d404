package scenario

import (
	"time"
)

const (
	maxFaults = 64
	maxFactor = 1000
)

// FaultHelp says what a kind of fault does.
type FaultHelp struct {
	Kind  FaultKind
	About string
}

// FaultKinds lists the faults that the simulator knows.
func FaultKinds() []FaultHelp {
	return []FaultHelp{
		{EngineReclaimed, "an engine is taken away for good; what runs there is lost or runs again"},
		{SlowEngine, "an engine's steps last factor times as long"},
		{EntryLost, "an entry dies for good with all its requests"},
		{DataCentreCut, "data centres don't reach each other"},
		{LateReports, "reports of the engines' load are lag old"},
		{LongerOutputs, "outputs of kinds that aren't urgent are factor times as long"},
	}
}

// faultReaders read what a kind of fault has besides its kind and time.
var faultReaders = map[FaultKind]func(*section, *Fault, *Scenario){
	EngineReclaimed: func(s *section, f *Fault, sc *Scenario) { f.Engine = readEngineNumber(s, sc) },
	EntryLost: func(s *section, f *Fault, sc *Scenario) {
		f.Entry = s.integer("entry", 0, sc.Fleet.Entries-1)
	},
	SlowEngine: func(s *section, f *Fault, sc *Scenario) {
		f.Engine = readEngineNumber(s, sc)
		f.Factor = s.number("factor", 1, maxFactor)
		readUntil(s, f, sc)
	},
	LongerOutputs: func(s *section, f *Fault, sc *Scenario) {
		f.Factor = s.number("factor", 1, maxFactor)
		readUntil(s, f, sc)
	},
	LateReports: func(s *section, f *Fault, sc *Scenario) {
		f.Lag = s.duration("lag", sc.Fleet.ReportLag, maxLag)
		readUntil(s, f, sc)
	},
	DataCentreCut: func(s *section, f *Fault, sc *Scenario) {
		readUntil(s, f, sc)
		if sc.Fleet.DataCentres < 2 {
			s.addf("kind", "there is one data centre, nothing to cut; see fleet.data_centres")
		}
	},
}

func readEngineNumber(s *section, sc *Scenario) int {
	return s.integer("engine", 0, sc.Fleet.Engines-1)
}

func readUntil(s *section, f *Fault, sc *Scenario) {
	if s.has("until") {
		f.Until = s.duration("until", f.At+time.Millisecond, sc.Load.Duration)
	}
}

func readFaults(top *section, sc *Scenario) []Fault {
	sections := top.tables("fault")
	if n := len(sections); n > maxFaults {
		top.addf("fault", "%d faults, at most %d", n, maxFaults)
	}
	var out []Fault
	for _, s := range sections {
		out = append(out, readFault(s, sc))
	}
	checkSurvivors(top, sections, out, sc)
	return out
}

func readFault(s *section, sc *Scenario) Fault {
	f := Fault{Kind: FaultKind(s.text("kind")), At: s.durationOr("at", 0, 0, sc.Load.Duration)}
	more := faultReaders[f.Kind]
	if more == nil {
		if f.Kind != "" {
			s.addf("kind", "%q is no fault; see -list", f.Kind)
		}
		return f
	}
	more(s, &f, sc)
	s.done()
	return f
}

// checkSurvivors sees that each engine and entry ends once at most and that one of each is
// left.
func checkSurvivors(top *section, sections []*section, faults []Fault, sc *Scenario) {
	engines, entries := map[int]bool{}, map[int]bool{}
	for i, f := range faults {
		if f.Kind == EngineReclaimed {
			once(sections[i], "engine", engines, f.Engine)
		}
		if f.Kind == EntryLost {
			once(sections[i], "entry", entries, f.Entry)
		}
	}
	if len(engines) > 0 && len(engines) >= sc.Fleet.Engines {
		top.addf("fault", "all engines end; one must be left")
	}
	if len(entries) > 0 && len(entries) >= sc.Fleet.Entries {
		top.addf("fault", "all entries end; one must be left")
	}
}

func once(s *section, key string, ended map[int]bool, number int) {
	if ended[number] {
		s.addf(key, "%d ends in an earlier fault", number)
	}
	ended[number] = true
}
