// Package scenario reads the files that describe experiments: load, fleet, faults and
// policies.
//
// A file is TOML, at most MaxBytes. It is checked whole: Parse returns every finding with
// its place, and a file with findings is not used. docs/EXPERIMENTS.md is the reference of
// the format.
package scenario

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/enginemodel"
	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// Target is the model that all engines serve and all kinds ask for.
const Target = "m"

// Scenario is one situation in which policies are compared.
type Scenario struct {
	Name string
	// About says in a line what the scenario shows.
	About  string
	Load   Load
	Kinds  []Kind
	Fleet  Fleet
	Engine enginemodel.Config
	Faults []Fault
	// Policies are compared if the caller names no others; empty for all versions.
	Policies []string
	// Mixes are policies that only this file knows.
	Mixes []Mix
}

// Load says how many requests come.
type Load struct {
	// Rate is the requests a second; it doubles in the middle third.
	Rate       float64
	Duration   time.Duration
	Workspaces []string
}

// Kind is one kind of request, as callers send it and as the table treats it.
type Kind struct {
	load.Kind
	Row table.Row
}

// Fleet is what serves the requests.
type Fleet struct {
	Engines     int
	Entries     int
	DataCentres int
	// ReportLag is how old the engines' reports are when entries hear of them.
	ReportLag time.Duration
}

// FaultKind names a thing that goes wrong.
type FaultKind string

// The faults that the simulator knows.
const (
	EngineReclaimed FaultKind = "engine_reclaimed"
	SlowEngine      FaultKind = "slow_engine"
	EntryLost       FaultKind = "entry_lost"
	DataCentreCut   FaultKind = "data_centre_cut"
	LateReports     FaultKind = "late_reports"
	LongerOutputs   FaultKind = "longer_outputs"
)

// Fault is one thing that goes wrong. Fields that its kind has no use for are zero.
type Fault struct {
	Kind FaultKind
	// At and Until count from the start; Until is zero for the end of the run.
	At, Until time.Duration
	// Engine and Entry count from 0.
	Engine, Entry int
	// Factor says how many times slower an engine, or longer an output, is.
	Factor float64
	// Lag is how old reports are.
	Lag time.Duration
}

// Holds reports whether the fault is there at a time.
func (f Fault) Holds(at time.Duration) bool {
	return at >= f.At && (f.Until == 0 || at < f.Until)
}

// Mix is a version of the scheduler without some mechanisms.
type Mix struct {
	Name    string
	Version string
	Without []scheduler.Mechanism
}

// LoadKinds lists the kinds as callers send them.
func (sc *Scenario) LoadKinds() []load.Kind {
	out := make([]load.Kind, len(sc.Kinds))
	for i, k := range sc.Kinds {
		out[i] = k.Kind
	}
	return out
}

// Row gives the table's row of a kind.
func (sc *Scenario) Row(kind string) table.Row {
	i := slices.IndexFunc(sc.Kinds, func(k Kind) bool { return k.Name == kind })
	return sc.Kinds[i].Row
}

// Without is the scenario without one of its faults.
func (sc *Scenario) Without(fault int) *Scenario {
	out := *sc
	out.Faults = slices.Delete(slices.Clone(sc.Faults), fault, fault+1)
	return &out
}
