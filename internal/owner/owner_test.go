package owner

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// TestARequestThatArrivesAfterTheStopIsNotRun guards against runs whose callers get no answer, also by a repeat of a
// ticket that was refused.
func TestARequestThatArrivesAfterTheStopIsNotRun(t *testing.T) {
	g := NewWithT(t)
	runs := make(chan struct{}, 2)
	o := New(claims.New(time.Now(), claims.Config{Secret: []byte("s")}), func(context.Context, *job.Job, job.Sink) *outcome.Error {
		runs <- struct{}{}
		return nil
	}, nil, func(*job.Job) {})
	text, ok := o.Mint("w")
	g.Expect(ok).To(BeTrue())
	ticket, _ := claims.ParseTicket(text)
	o.Stop()
	ended, end := context.WithCancelCause(t.Context())
	end(shutdown.ErrStopping)
	for _, ctx := range []context.Context{ended, t.Context()} {
		err := o.Serve(ctx, ticket, &job.Job{Workspace: "w", Ticket: text}, respond.NewWriter(httptest.NewRecorder()))
		g.Expect(err).To(Equal(outcome.Stopping()))
	}
	g.Expect(runs).NotTo(Receive())
}
