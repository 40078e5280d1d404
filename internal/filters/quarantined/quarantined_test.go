package quarantined_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/contain"
	"github.com/bridgehoist/bridgehoist/internal/filters/quarantined"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// TestContainedRequestsAreRefusedAtOnce: with the promise that this try has not run, and when
// to come back. The same request of another workspace goes on.
func TestContainedRequestsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	guard := contain.New()
	for life := range uint64(quarantine.ContainmentThreshold) {
		guard.Add(quarantine.Fact{Identity: quarantine.IdentityOf("w", "h", "/x", nil), EventID: life, OccurredAt: time.Now().Add(-time.Minute)})
	}
	passed := 0
	filter := quarantined.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed++ }), guard)
	serve := func(workspace string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		filter.ServeHTTP(w, job.WithJob(httptest.NewRequest(http.MethodPost, "/x", nil), &job.Job{Workspace: workspace, Host: "h", Path: "/x"}))
		return w
	}
	w := serve("w")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get(httpapi.HeaderOutcome)).To(Equal("not_run"))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("540"))
	g.Expect(passed).To(BeZero())
	serve("another")
	g.Expect(passed).To(Equal(1))
}
