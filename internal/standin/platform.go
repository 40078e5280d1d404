// Package standin holds the stand-ins for what is outside the system: the
// platform, engines and plain services. They serve the demo and the tests.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/bridgehoist/bridgehoist/internal/platformapi"
)

// maxValueBytes bounds a published value.
const maxValueBytes = 1 << 20

// PlatformMode makes the platform stand-in fail.
type PlatformMode struct {
	// Down refuses every read.
	Down bool `json:"down"`
	// Stale keeps answering with what was published when it was set.
	Stale bool `json:"stale"`
	// DelayMS slows every read.
	DelayMS int `json:"delay_ms"`
}

// Platform stands for the configuration service: read and watch for the
// system; only operators, under /control, write.
type Platform struct {
	mu       sync.Mutex
	values   map[string]platformapi.Value
	frozen   map[string]platformapi.Value
	revision uint64
	changed  chan struct{}
	mode     PlatformMode
	calls    int
}

// NewPlatform makes a platform without values.
func NewPlatform() *Platform {
	return &Platform{values: map[string]platformapi.Value{}, changed: make(chan struct{})}
}

// Publish sets a value and returns its revision.
func (p *Platform) Publish(name string, content []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[name] = platformapi.Value{Name: name, Revision: p.revision, Content: content}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// SetMode changes how the platform fails.
func (p *Platform) SetMode(m PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Stale && !p.mode.Stale {
		p.frozen = make(map[string]platformapi.Value, len(p.values))
		for k, v := range p.values {
			p.frozen[k] = v
		}
	}
	p.mode = m
}

// Calls counts the reads and watches so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Handler serves the platform.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(platformapi.PathValues+"{name}", p.get)
	r.Get(platformapi.PathWatch, p.watch)
	r.Put("/control/values/{name}", p.put)
	r.Put("/control/mode", p.putMode)
	r.Get("/control/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	return r
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// admit counts a call and applies the mode; it returns false if it answered.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	p.calls++
	mode := p.mode
	p.mu.Unlock()
	if mode.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(mode.DelayMS) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	if mode.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (p *Platform) visible() map[string]platformapi.Value {
	if p.mode.Stale {
		return p.frozen
	}
	return p.values
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	p.mu.Lock()
	v, ok := p.visible()[chi.URLParam(r, "name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, v)
}

func (p *Platform) newer(than map[string]uint64) (platformapi.Update, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out platformapi.Update
	for _, v := range p.visible() {
		if after, asked := than[v.Name]; asked && v.Revision > after {
			out.Values = append(out.Values, v)
		}
	}
	return out, p.changed
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	than := map[string]uint64{}
	for _, name := range platformapi.Names() {
		than[name], _ = strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get(platformapi.ParamWait))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		update, changed := p.newer(than)
		if len(update.Values) > 0 {
			writeJSON(w, update)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, update)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	writeJSON(w, p.Publish(chi.URLParam(r, "name"), content))
}

func (p *Platform) putMode(w http.ResponseWriter, r *http.Request) {
	var m PlatformMode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMode(m)
}
