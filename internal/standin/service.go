package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
)

// ServiceAnswer is the reply of the plain service.
type ServiceAnswer struct {
	// Echo is the hash of the body that was sent.
	Echo string `json:"echo"`
	// RequestID repeats the header of the request.
	RequestID string `json:"request_id"`
}

// Service stands for a plain service. It counts how often each body ran.
type Service struct {
	latency time.Duration

	mu       sync.Mutex
	runs     map[string]int
	draining bool
}

// NewService makes a service that takes so long for a call.
func NewService(latency time.Duration) *Service {
	return &Service{latency: latency, runs: map[string]int{}}
}

// Runs counts, by hash of the body, how often each call ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Handler serves the service.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/control/runs", func(w http.ResponseWriter, _ *http.Request) { httpapi.WriteJSON(w, s.Runs()) })
	r.Put("/control/faults", s.setFaults)
	r.HandleFunc("/*", s.call)
	return r
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.draining = f.Draining
	s.mu.Unlock()
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	hash := TextHash(string(body))
	s.mu.Lock()
	draining := s.draining
	if !draining {
		s.runs[hash]++
	}
	s.mu.Unlock()
	if draining {
		w.Header().Set(engineapi.HeaderNotRun, "1")
		w.Header().Set(engineapi.HeaderDraining, "1")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.latency)
	w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
	httpapi.WriteJSON(w, ServiceAnswer{Echo: hash, RequestID: r.Header.Get(engineapi.HeaderRequestID)})
}
