package scheduler

import (
	"slices"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// allowsEndpoint reports whether the regions of the request's row and workspace permit an
// endpoint. An endpoint of unknown region is in none.
func (r *Request) allowsEndpoint(e *endpoint) bool {
	return inRegions(r.Row.Regions, e.spec.Region) && inRegions(r.PermittedRegions, e.spec.Region)
}

func inRegions(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// regionRestricted reports whether the row or the workspace limits the regions of the request.
func (r *Request) regionRestricted() bool { return len(r.Row.Regions)+len(r.PermittedRegions) > 0 }

// refuseOutsideRegions returns the error for a request that has no endpoint in a permitted
// region, or nil.
func (s *Scheduler) refuseOutsideRegions(r *Request) *outcome.Error {
	if !r.regionRestricted() || s.any(r.Row.Target, r.allowsEndpoint) {
		return nil
	}
	return s.refusal(outcome.CodeNoEndpoint, maxRetryAfter, "no endpoint of %q is in a region that the request may go to", r.Row.Target)
}
