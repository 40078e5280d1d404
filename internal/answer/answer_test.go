package answer

import (
	"context"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// TestAnIncompleteAnswerDoesNotBeginOnceTheRequestHasEnded guards against answers that begin and are cut.
func TestAnIncompleteAnswerDoesNotBeginOnceTheRequestHasEnded(t *testing.T) {
	g := NewWithT(t)
	open, end := context.WithCancelCause(t.Context())
	ctx, release := shutdown.Abortable(t.Context(), open)
	defer release()
	log := NewLog(nil)
	log.Header(200, "application/json")
	end(shutdown.ErrStopping)
	caller := httptest.NewRecorder()
	err := log.Follow(ctx, respond.NewWriter(caller))
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Outcome).To(Equal(outcome.MayHaveRun))
	g.Expect(err.Code).To(Equal(outcome.CodeStopping))
	g.Expect(caller.Header()).To(BeEmpty(), "nothing was written")
}
