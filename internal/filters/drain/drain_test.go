package drain

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// TestARequestThatArrivesAfterTheEndHasEnded guards against requests that are sent although the process ends.
func TestARequestThatArrivesAfterTheEndHasEnded(t *testing.T) {
	g := NewWithT(t)
	// No other goroutine runs until the handler has looked.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	open, end := context.WithCancelCause(context.Background())
	end(shutdown.ErrStopping)
	filter := New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		g.Expect(context.Cause(r.Context())).To(Equal(shutdown.ErrStopping))
	}), open, func() bool { return true })
	for range 100 {
		filter.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	}
}

// TestRequestsThatAreLateAreRefused guards against requests that are taken once the listener is closed, and cut at the end.
func TestRequestsThatAreLateAreRefused(t *testing.T) {
	now := time.Now()
	abort := now.Add(time.Second)
	for name, c := range map[string]struct {
		closed  bool
		timeout time.Duration
		status  int
	}{
		"listener open":           {timeout: time.Minute, status: http.StatusOK},
		"deadline before the end": {closed: true, timeout: time.Second, status: http.StatusOK},
		"deadline after the end":  {closed: true, timeout: time.Minute, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			var intake shutdown.Intake
			if c.closed {
				intake.Close(abort)
			}
			j := &job.Job{ArrivedAt: now, Row: table.Row{Timeout: c.timeout}}
			rec := httptest.NewRecorder()
			ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			RefuseLate(ok, &intake).ServeHTTP(rec, job.WithJob(httptest.NewRequest(http.MethodPost, "/", nil), j))
			NewWithT(t).Expect(rec.Code).To(Equal(c.status))
		})
	}
}
