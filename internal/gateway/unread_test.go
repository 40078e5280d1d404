package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform"
)

// TestAnAnswerWhoseEndComesLateIsWhole guards against answers that lose their end, since the time for reading what came
// before it has passed.
func TestAnAnswerWhoseEndComesLateIsWhole(t *testing.T) {
	const unread = 300 * time.Millisecond
	w := newWorld(t)
	w.wrapped("engine-1", func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/stream/x" {
				next.ServeHTTP(rw, r)
				return
			}
			rw.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
			rw.Header().Set(platform.HeaderSignature, "engine-1")
			rw.Header().Set("Content-Type", "text/event-stream")
			_, _ = rw.Write([]byte(events("r1", 1)))
			rw.(http.Flusher).Flush()
			time.Sleep(2 * unread)
		})
	})
	e := w.start(w.settings("vm-1"), "-unread-timeout", unread.String()).waitReady()
	a := e.stream("r1")
	w.g.Expect(a.err).NotTo(HaveOccurred())
	w.g.Expect(a.body).To(Equal(events("r1", 1)))
}
