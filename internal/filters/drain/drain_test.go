package drain

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/shutdown"
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
