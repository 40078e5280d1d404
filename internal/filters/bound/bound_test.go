package bound

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
)

func TestRefusesBeyondItsPlaces(t *testing.T) {
	g := NewWithT(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	h := New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-leave
	}), 1)
	request := func() *http.Request { return job.WithJob(httptest.NewRequest(http.MethodPost, "/", nil), &job.Job{}) }
	done := make(chan struct{})
	go func() {
		h.ServeHTTP(httptest.NewRecorder(), request())
		close(done)
	}()
	<-entered
	w := httptest.NewRecorder()
	h.ServeHTTP(w, request())
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get(httpapi.HeaderOutcome)).To(Equal("not_run"))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("1"))
	close(leave)
	<-done
	go func() { <-entered }()
	w = httptest.NewRecorder()
	h.ServeHTTP(w, request())
	g.Expect(w.Code).To(Equal(http.StatusOK))
}
