package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
)

// askingEngine serves as fastEngine does, says something of itself in its answers, and notes
// when requests come.
type askingEngine struct {
	address string

	mu       sync.Mutex
	arrivals []time.Time
}

// newAskingEngine starts one; asks answers a request itself, or sets headers and returns false.
func newAskingEngine(t *testing.T, asks func(w http.ResponseWriter) (answered bool)) *askingEngine {
	inner := fastEngine()
	t.Cleanup(inner.Close)
	e := &askingEngine{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engineapi.PathCompletions {
			e.mu.Lock()
			e.arrivals = append(e.arrivals, time.Now())
			e.mu.Unlock()
			if asks(w) {
				return
			}
		}
		inner.Config.Handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	e.address = strings.TrimPrefix(server.URL, "http://")
	return e
}

func (e *askingEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.arrivals)
}

// TestWhatEnginesSayInAnswersBindsHere: endpoints of the users' platform said in answers that
// they leave, or wanted pauses, and got requests all the same, since only who had asked knew
// it. On our own interface it was the same: the sign that an engine drains was read from
// refusals alone, and Retry-After from none.
func TestWhatEnginesSayInAnswersBindsHere(t *testing.T) {
	for name, asks := range map[string]func(w http.ResponseWriter) bool{
		"it drains": func(w http.ResponseWriter) bool {
			w.Header().Set(engineapi.HeaderDraining, "1")
			return false
		},
		"it wants a pause": func(w http.ResponseWriter) bool {
			w.Header().Set(engineapi.HeaderNotRun, "1")
			w.Header().Set("Retry-After", "30")
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			asking, other := newAskingEngine(t, asks), newAskingEngine(t, func(http.ResponseWriter) bool { return false })
			address := startEntry(t, asking.address, other.address)
			for i := 0; asking.count() == 0; i++ {
				g.Expect(i).To(BeNumerically("<", 1000))
				complete(g, address, "p")
			}
			for range 40 {
				status, body := complete(g, address, "p")
				g.Expect(status).To(Equal(http.StatusOK), body)
			}
			g.Expect(asking.count()).To(Equal(1))
			g.Expect(other.count()).To(BeNumerically(">=", 40))
		})
	}
}
