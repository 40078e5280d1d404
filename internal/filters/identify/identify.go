// Package identify finds the workspace that a request belongs to, by its API
// key. A header that claims another workspace is refused.
package identify

import (
	"net/http"
	"strings"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Lookup finds the workspace of an API key.
type Lookup func(key string) (workspace string, ok bool)

// New makes the filter.
func New(next http.Handler, lookup Lookup) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		workspace, ok := lookup(key)
		if !ok {
			respond.Refuse(w, r, outcome.NotRunf(outcome.CodeUnauthenticated, "the API key is not known"))
			return
		}
		if claimed := r.Header.Get(httpapi.HeaderWorkspace); claimed != "" && claimed != workspace {
			respond.Refuse(w, r, outcome.NotRunf(outcome.CodeWorkspaceMismatch, "the API key belongs to another workspace"))
			return
		}
		job.FromRequest(r).Workspace = workspace
		next.ServeHTTP(w, r)
	})
}
