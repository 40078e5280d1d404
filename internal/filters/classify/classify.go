// Package classify finds the row of the table for a request and reads what the
// system needs to know of its body. From here on the request is decided under
// this one revision of the table.
package classify

import (
	"encoding/json"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// Table returns the table in force, or nil.
type Table func() *register.Version[*table.Table]

// completion is a CompletionRequest with what only callers send.
type completion struct {
	engineapi.CompletionRequest
	Metadata struct {
		Kind string `json:"kind"`
	} `json:"metadata"`
}

// New makes the filter.
func New(next http.Handler, current Table) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j := job.FromRequest(r)
		kind := r.Header.Get(httpapi.HeaderKind)
		if err := Fill(j, kind, current()); err != nil {
			respond.Refuse(w, r, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Fill completes a job whose method, path, body and workspace are set. The kind
// may come from the path of a plain service or from the body instead.
func Fill(j *job.Job, kind string, held *register.Version[*table.Table]) *outcome.Error {
	if held == nil {
		return outcome.NotRunf(outcome.CodeNoTable, "no table has been read yet")
	}
	j.Revision = held.Revision
	if rest, ok := strings.CutPrefix(j.Path, httpapi.PathServices); ok {
		kind, j.ServicePath = splitServicePath(rest)
		return findRow(j, kind, held.Value)
	}
	if j.Method != http.MethodPost {
		return outcome.NotRunf(outcome.CodeMethodNotAllowed, "use POST")
	}
	kind, err := readCompletion(j, kind)
	if err != nil {
		return err
	}
	if err := findRow(j, kind, held.Value); err != nil {
		return err
	}
	if j.Row.Target != j.Model && j.Model != "" {
		return outcome.NotRunf(outcome.CodeBadRequest, "kind %q is answered by %q, not by %q", kind, j.Row.Target, j.Model)
	}
	j.Model = j.Row.Target
	return nil
}

func splitServicePath(rest string) (kind, path string) {
	kind, path, _ = strings.Cut(rest, "/")
	return kind, "/" + path
}

func readCompletion(j *job.Job, kind string) (string, *outcome.Error) {
	if !utf8.Valid(j.Body) {
		return "", outcome.NotRunf(outcome.CodeBadRequest, "the body is not UTF-8")
	}
	var c completion
	if err := json.Unmarshal(j.Body, &c); err != nil {
		return "", outcome.NotRunf(outcome.CodeBadRequest, "the body is not JSON of a completion: %v", err)
	}
	if c.Prompt == "" {
		return "", outcome.NotRunf(outcome.CodeBadRequest, "the prompt is empty")
	}
	if c.MaxTokens < 0 {
		return "", outcome.NotRunf(outcome.CodeBadRequest, "max_tokens is negative")
	}
	j.Model = c.Model
	j.Prompt = c.Prompt
	j.MaxTokens = c.MaxTokens
	j.Stream = c.Stream
	if kind == "" {
		kind = c.Metadata.Kind
	}
	return kind, nil
}

func findRow(j *job.Job, kind string, t *table.Table) *outcome.Error {
	row, ok := t.Lookup(j.Workspace, kind)
	if !ok {
		return outcome.NotRunf(outcome.CodeUnknownKind, "the table has no kind %q for this workspace", kind)
	}
	j.Kind = kind
	j.Row = row
	return nil
}
