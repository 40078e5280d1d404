package body

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/httpserver"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
)

// serve runs the filter before a handler that counts what reaches it.
func serve(t *testing.T, reached *int) *httptest.Server { return serveWithin(t, reached, 100, nil) }

// serveWithin is serve with a limit of a body and a budget of all.
func serveWithin(t *testing.T, reached *int, limit int64, memory *membudget.Budget) *httptest.Server {
	next := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { *reached += len(job.FromRequest(r).Body) })
	filter := New(next, limit, 200*time.Millisecond, memory)
	l := freeport.Listen(t)
	s := httpserver.Start(l, httpserver.Config{HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		filter.ServeHTTP(w, job.WithJob(r, &job.Job{}))
	})}})
	t.Cleanup(func() { _ = s.Close() })
	return &httptest.Server{URL: "http://" + l.Addr().String(), Listener: l}
}

func TestSlowSenderIsRefused(t *testing.T) {
	g := NewWithT(t)
	reached := 0
	s := serve(t, &reached)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nonly a part")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	g.Expect(resp.Header.Get(httpapi.HeaderOutcome)).To(Equal("not_run"))
	g.Expect(reached).To(BeZero())
}

func TestBounds(t *testing.T) {
	g := NewWithT(t)
	reached := 0
	s := serve(t, &reached)
	for size, status := range map[int]int{100: http.StatusOK, 101: http.StatusRequestEntityTooLarge} {
		resp, err := http.Post(s.URL, "", strings.NewReader(strings.Repeat("x", size)))
		g.Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(status))
	}
	g.Expect(reached).To(Equal(100))
}

// TestABodyWithoutRoomIsRefused guards against entries that run out of memory by bodies that each keep to
// their limit. The caller, which sends on, gets the refusal.
func TestABodyWithoutRoomIsRefused(t *testing.T) {
	g := NewWithT(t)
	const size = 4 << 20
	reached := 0
	memory := membudget.New(size / 2)
	s := serveWithin(t, &reached, size, memory)
	for range 3 {
		resp, err := http.Post(s.URL, "", strings.NewReader(strings.Repeat("x", size)))
		g.Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Header.Get(httpapi.HeaderOutcome)).To(Equal("not_run"))
		g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	}
	g.Expect(reached).To(BeZero())
	resp, err := http.Post(s.URL, "", strings.NewReader("small"))
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Eventually(memory.Used).Should(BeZero())
}

// TestARefusedBodyHoldsNoMemory guards against refusals of other bodies while the rest of a refused one is awaited.
func TestARefusedBodyHoldsNoMemory(t *testing.T) {
	g := NewWithT(t)
	const size = 4 << 20
	reached := 0
	memory := membudget.New(size / 2)
	s := serveWithin(t, &reached, size, memory)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(memory.Used()).To(BeZero())
}

// heldDeadline holds back the deadline that interrupts the reading of a body.
type heldDeadline struct {
	*httptest.ResponseRecorder
	deadlines                         atomic.Int64
	interrupting, returned, completed chan struct{}
	tooLate                           bool
}

func (w *heldDeadline) SetReadDeadline(time.Time) error {
	if w.deadlines.Add(1) < 2 {
		return nil
	}
	defer close(w.completed)
	close(w.interrupting)
	select {
	case <-w.returned:
		w.tooLate = true
	case <-time.After(100 * time.Millisecond):
	}
	return nil
}

// TestAStopDoesNotInterruptWhatComesAfterTheBody guards against a refusal that is lost, since the rest of its body can't be
// read, if the stop comes in the moment of the refusal.
func TestAStopDoesNotInterruptWhatComesAfterTheBody(t *testing.T) {
	w := &heldDeadline{ResponseRecorder: httptest.NewRecorder(), interrupting: make(chan struct{}), returned: make(chan struct{}), completed: make(chan struct{})}
	ctx, end := context.WithCancelCause(t.Context())
	body := readerFunc(func(p []byte) (int, error) {
		end(shutdown.ErrStopping)
		<-w.interrupting
		return len(p), nil
	})
	r := job.WithJob(httptest.NewRequestWithContext(ctx, http.MethodPost, "/", body), &job.Job{})
	New(http.NotFoundHandler(), 1, time.Minute, nil).ServeHTTP(w, r)
	close(w.returned)
	g := NewWithT(t)
	g.Expect(w.Code).To(Equal(http.StatusRequestEntityTooLarge))
	<-w.completed
	g.Expect(w.tooLate).To(BeFalse())
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
