// Package route finds the row of the table for a request by its host and path,
// and the workspace by its API key. Both come from one revision of the table,
// under which the request is decided to its end.
package route

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// retryAfterNoTable is when a caller may come back to an entry that has no table
// yet; another entry will take it.
const retryAfterNoTable = 100 * time.Millisecond

// Table returns the table in force, or nil.
type Table func() *register.Version[*table.Table]

// New makes the filter.
func New(next http.Handler, current Table) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j := job.FromRequest(r)
		if err := fill(j, current()); err != nil {
			respond.Refuse(w, r, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func fill(j *job.Job, held *register.Version[*table.Table]) *outcome.Error {
	if held == nil {
		return outcome.NotRunf(outcome.CodeNoTable, "no table has been read yet").WithRetryAfter(retryAfterNoTable)
	}
	j.Revision = held.Revision
	if j.RequestID == "" {
		return outcome.NotRunf(outcome.CodeBadRequest, "the request has no id")
	}
	path, _, _ := strings.Cut(j.Path, "?")
	row, ok := held.Value.MatchRoute(hostname(j.Host), path)
	if !ok {
		return outcome.NotRunf(outcome.CodeUnknownKind, "no route for %s%s", j.Host, path)
	}
	j.Kind = row.Kind
	j.Row = row.PickTarget(rand.Float64())
	if err := resume(j); err != nil {
		return err
	}
	return identify(j, held.Value)
}

// resume notes from where on a caller wants the rest of a stream. On rows without
// resumption what it sent is ignored.
func resume(j *job.Job) *outcome.Error {
	if !j.Row.Resumable || j.ResumeAfter == "" {
		return nil
	}
	last, err := strconv.Atoi(j.ResumeAfter)
	if err != nil || last < 0 {
		return outcome.NotRunf(outcome.CodeBadRequest, "%q is not the id of an event", j.ResumeAfter)
	}
	j.Delivered.Events.ResumeAfter(last)
	return nil
}

func identify(j *job.Job, t *table.Table) *outcome.Error {
	if !t.HasWorkspaces() || j.Row.Anonymous {
		return nil
	}
	w, ok := t.WorkspaceByKey(j.APIKey)
	if !ok {
		return outcome.NotRunf(outcome.CodeUnauthenticated, "the API key is not known")
	}
	j.Workspace = w.Name
	j.PermittedRegions = w.Regions
	j.Rank = w.Rank
	return nil
}

// hostname drops a port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
