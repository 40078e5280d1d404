// Package standin holds the stand-ins for engines and plain services. They serve
// the demo and the tests.
package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/enginemodel"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
)

// EngineConfig sets up a stand-in engine.
type EngineConfig struct {
	Model       enginemodel.Config
	Incarnation uint64
	// Loaded are the models at the start.
	Loaded []string
	// ChecksFencing makes it refuse orders with an old fencing number.
	ChecksFencing bool
	// ReportLag is the age of the load that it reports.
	ReportLag time.Duration
	// Linger is how long a generation without a reader goes on, and how long an
	// ended one can be read.
	Linger time.Duration
	// LoadTime is how long loading a model takes.
	LoadTime time.Duration
}

// EngineFaults makes a stand-in engine misbehave.
type EngineFaults struct {
	// Slowdown stretches every step; 0 and 1 mean none.
	Slowdown float64 `json:"slowdown"`
	// CutAfter breaks each stream after so many tokens; 0 means never.
	CutAfter int `json:"cut_after"`
	// Draining refuses new work.
	Draining bool `json:"draining"`
}

// Engine stands for a model engine.
type Engine struct {
	cfg EngineConfig

	mu       sync.Mutex
	model    *enginemodel.Engine
	gens     map[string]*generation
	serial   int
	runs     map[string]int
	faults   EngineFaults
	wake     chan struct{}
	reports  []timedLoad
	fencing  uint64
	loaded   []string
	loading  []string
	accepted []engineapi.Order
}

type timedLoad struct {
	at   time.Time
	load enginemodel.Load
}

// NewEngine makes an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:    cfg,
		model:  enginemodel.New(cfg.Model),
		gens:   map[string]*generation{},
		runs:   map[string]int{},
		wake:   make(chan struct{}, 1),
		loaded: slices.Clone(cfg.Loaded),
	}
}

// Run advances the model in real time until the context ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, idle := e.step()
		if idle {
			select {
			case <-e.wake:
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(pause)
	}
}

func (e *Engine) step() (pause time.Duration, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.sweep(now)
	e.report(now)
	if e.model.Idle() {
		return 0, true
	}
	st := e.model.Step()
	for _, s := range st.Progressed {
		g := e.gens[s.ID]
		g.ready = s.Generated()
		g.ended = g.ready >= s.OutputTokens
		g.notify()
	}
	pause = st.Duration
	if e.faults.Slowdown > 1 {
		pause = time.Duration(float64(pause) * e.faults.Slowdown)
	}
	return pause, false
}

// sweep cancels generations that nobody reads and forgets old ones.
func (e *Engine) sweep(now time.Time) {
	for id, g := range e.gens {
		if g.readers > 0 || now.Sub(g.leftAt) < e.cfg.Linger {
			continue
		}
		e.model.Remove(id)
		delete(e.gens, id)
	}
}

func (e *Engine) report(now time.Time) {
	e.reports = append(e.reports, timedLoad{now, e.model.Load()})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}

// Handler serves the engine.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(engineapi.PathCompletions, e.complete)
	r.Get(engineapi.PathGenerations+"{id}", e.resume)
	r.Delete(engineapi.PathGenerations+"{id}", e.cancel)
	r.Get(engineapi.PathLoad, e.load)
	r.Get(engineapi.PathOrders, e.orders)
	r.Post(engineapi.PathOrders, e.order)
	r.Put("/control/faults", e.setFaults)
	r.Get("/control/runs", func(w http.ResponseWriter, _ *http.Request) { httpapi.WriteJSON(w, e.Runs()) })
	return r
}

// Runs counts, by hash of the prompt, how often each request ran.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for k, v := range e.runs {
		out[k] = v
	}
	return out
}

func (e *Engine) refuse(w http.ResponseWriter, status int, draining bool, text string) {
	w.Header().Set(engineapi.HeaderNotRun, "1")
	if draining {
		w.Header().Set(engineapi.HeaderDraining, "1")
	}
	http.Error(w, text, status)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report(time.Now())
	l := e.reports[0].load
	httpapi.WriteJSON(w, engineapi.LoadReport{
		Incarnation:    e.cfg.Incarnation,
		UsedTokens:     l.UsedTokens,
		CapacityTokens: e.cfg.Model.CapacityTokens,
		Running:        l.Running,
		Waiting:        l.Waiting,
		Preemptions:    l.Preemptions,
		Draining:       e.faults.Draining,
	})
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
}

func (e *Engine) orders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	httpapi.WriteJSON(w, engineapi.OrderState{Fencing: e.fencing, Loaded: e.loaded, Loading: e.loading})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fencing < e.fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencing = o.Fencing
	e.accepted = append(e.accepted, o)
	e.loaded = slices.DeleteFunc(e.loaded, func(m string) bool { return !slices.Contains(o.Desired, m) })
	for _, m := range o.Desired {
		if !slices.Contains(e.loaded, m) && !slices.Contains(e.loading, m) {
			e.loading = append(e.loading, m)
			time.AfterFunc(e.cfg.LoadTime, func() { e.finishLoading(m) })
		}
	}
}

func (e *Engine) finishLoading(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = slices.DeleteFunc(e.loading, func(m string) bool { return m == model })
	if !slices.Contains(e.loaded, model) {
		e.loaded = append(e.loaded, model)
	}
}
