package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/enginemodel"
)

// generation is one run of a request.
type generation struct {
	id        string
	requestID string
	hash      string
	seq       *enginemodel.Sequence
	ready     int
	ended     bool
	readers   int
	leftAt    time.Time
	changed   chan struct{}
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req engineapi.CompletionRequest
	w.Header().Set(engineapi.HeaderIncarnation, strconv.FormatUint(e.cfg.Incarnation, 10))
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		e.refuse(w, http.StatusBadRequest, false, err.Error())
		return
	}
	e.mu.Lock()
	draining := e.faults.Draining
	known := slices.Contains(e.loaded, req.Model)
	e.mu.Unlock()
	if draining {
		e.refuse(w, http.StatusServiceUnavailable, true, "draining")
		return
	}
	if !known {
		e.refuse(w, http.StatusNotFound, false, "model not loaded")
		return
	}
	e.follow(w, r, e.start(&req, r.Header.Get(engineapi.HeaderRequestID)), 0)
}

func (e *Engine) start(req *engineapi.CompletionRequest, requestID string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serial++
	id := fmt.Sprintf("gen-%d-%d", e.cfg.Incarnation, e.serial)
	length := OutputLength(req.Prompt)
	if req.MaxTokens > 0 {
		length = min(length, req.MaxTokens)
	}
	g := &generation{
		id:        id,
		requestID: requestID,
		hash:      TextHash(req.Prompt),
		changed:   make(chan struct{}),
		seq: &enginemodel.Sequence{
			ID:           id,
			Priority:     req.Priority,
			PromptTokens: PromptTokens(req.Prompt),
			OutputTokens: length,
		},
	}
	e.gens[id] = g
	e.runs[g.hash]++
	g.readers++
	e.model.Add(g.seq)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return g
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "bad from", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.gens[chi.URLParam(r, "id")]
	if g != nil {
		g.readers++
	}
	e.mu.Unlock()
	w.Header().Set(engineapi.HeaderIncarnation, strconv.FormatUint(e.cfg.Incarnation, 10))
	if g == nil {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	e.follow(w, r, g, from)
}

// follow streams a generation from an index on.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	defer e.leave(g)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engineapi.HeaderGeneration, g.id)
	flusher := http.NewResponseController(w)
	sent := 0
	_ = flusher.Flush()
	for {
		ready, ended, changed, cut := e.state(g)
		for ; from < ready; from++ {
			if cut > 0 && sent >= cut {
				panic(http.ErrAbortHandler)
			}
			writeEvent(w, e.chunk(g, from))
			sent++
		}
		if ended {
			writeEvent(w, e.last(g))
			fmt.Fprintf(w, "data: %s\n\n", engineapi.DoneData)
			return
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) state(g *generation) (ready int, ended bool, changed <-chan struct{}, cut int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.ready, g.ended, g.changed, e.faults.CutAfter
}

func (e *Engine) leave(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	g.leftAt = time.Now()
}

func writeEvent(w http.ResponseWriter, c engineapi.Chunk) {
	data, _ := json.Marshal(c)
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) chunk(g *generation, i int) engineapi.Chunk {
	return engineapi.Chunk{
		ID:          g.id,
		Incarnation: e.cfg.Incarnation,
		RequestID:   g.requestID,
		Index:       i,
		Choices:     []engineapi.Choice{{Text: Token(g.hash, i)}},
	}
}

func (e *Engine) last(g *generation) engineapi.Chunk {
	reason := engineapi.FinishStop
	return engineapi.Chunk{
		ID:          g.id,
		Incarnation: e.cfg.Incarnation,
		RequestID:   g.requestID,
		Index:       g.seq.OutputTokens,
		Choices:     []engineapi.Choice{{FinishReason: &reason}},
		Usage: &engineapi.Usage{
			PromptTokens:     g.seq.PromptTokens,
			CompletionTokens: g.seq.OutputTokens,
			Preemptions:      g.seq.Preemptions(),
		},
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := chi.URLParam(r, "id")
	if e.gens[id] == nil {
		http.NotFound(w, r)
		return
	}
	e.model.Remove(id)
	delete(e.gens, id)
}
