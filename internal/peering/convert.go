package peering

import (
	"math"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/platformapi"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/limits"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// clamp converts a float to a count of tokens.
func clamp(v float64) uint32 { return uint32(min(max(v, 0), math.MaxUint32)) }

func sharesOut(in []scheduler.Share) []*peerv1.EndpointShare {
	out := make([]*peerv1.EndpointShare, 0, len(in))
	for _, s := range in {
		msg := &peerv1.EndpointShare{Endpoint: s.Endpoint, Running: uint32(s.Running)}
		for _, tokens := range s.Projected {
			msg.ProjectedTokens = append(msg.ProjectedTokens, clamp(tokens))
		}
		out = append(out, msg)
	}
	return out
}

func sharesIn(in []*peerv1.EndpointShare) []scheduler.Share {
	out := make([]scheduler.Share, 0, len(in))
	for _, msg := range in {
		s := scheduler.Share{Endpoint: msg.GetEndpoint(), Running: int(msg.GetRunning())}
		for i, tokens := range msg.GetProjectedTokens() {
			if i < len(lengths.Horizons) {
				s.Projected[i] = float64(tokens)
			}
		}
		out = append(out, s)
	}
	return out
}

func usageOut(inFlight, queued map[limits.Key]int) []*peerv1.Usage {
	byKey := map[limits.Key]*peerv1.Usage{}
	get := func(k limits.Key) *peerv1.Usage {
		if byKey[k] == nil {
			byKey[k] = &peerv1.Usage{Workspace: k.Workspace, Kind: k.Kind}
		}
		return byKey[k]
	}
	for k, n := range inFlight {
		get(k).InFlight = uint32(n)
	}
	for k, n := range queued {
		get(k).Queued = uint32(n)
	}
	out := make([]*peerv1.Usage, 0, len(byKey))
	for _, u := range byKey {
		out = append(out, u)
	}
	return out
}

func usageIn(in []*peerv1.Usage) (inFlight, queued map[limits.Key]int) {
	inFlight = map[limits.Key]int{}
	queued = map[limits.Key]int{}
	for _, u := range in {
		k := limits.Key{Workspace: u.GetWorkspace(), Kind: u.GetKind()}
		if u.GetInFlight() > 0 {
			inFlight[k] = int(u.GetInFlight())
		}
		if u.GetQueued() > 0 {
			queued[k] = int(u.GetQueued())
		}
	}
	return inFlight, queued
}

func reportOut(now time.Time, r scheduler.Report) *peerv1.EndpointReport {
	return &peerv1.EndpointReport{
		Endpoint:       r.Endpoint,
		Incarnation:    r.Incarnation,
		AgeMs:          uint32(now.Sub(r.At).Milliseconds()),
		UsedTokens:     uint32(r.UsedTokens),
		CapacityTokens: uint32(r.CapacityTokens),
		Running:        uint32(r.Running),
		Waiting:        uint32(r.Waiting),
		Preemptions:    uint32(r.Preemptions),
	}
}

func reportIn(now time.Time, r *peerv1.EndpointReport) scheduler.Report {
	return scheduler.Report{
		Endpoint:       r.GetEndpoint(),
		Incarnation:    r.GetIncarnation(),
		At:             now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
		UsedTokens:     int(r.GetUsedTokens()),
		CapacityTokens: int(r.GetCapacityTokens()),
		Running:        int(r.GetRunning()),
		Waiting:        int(r.GetWaiting()),
		Preemptions:    int(r.GetPreemptions()),
	}
}

func leavesOut(in []drain.Leave) []*peerv1.Leave {
	out := make([]*peerv1.Leave, 0, len(in))
	for _, l := range in {
		out = append(out, &peerv1.Leave{Endpoint: l.Endpoint, Incarnation: l.Incarnation})
	}
	return out
}

func documentsOut(in []platformapi.Value) []*peerv1.Document {
	out := make([]*peerv1.Document, 0, len(in))
	for _, v := range in {
		out = append(out, &peerv1.Document{Name: v.Name, Revision: v.Revision, Content: v.Content})
	}
	return out
}

func documentIn(d *peerv1.Document) platformapi.Value {
	return platformapi.Value{Name: d.GetName(), Revision: d.GetRevision(), Content: d.GetContent()}
}

func runRequest(ticket string, j *job.Job) *peerv1.RunRequest {
	return &peerv1.RunRequest{
		Ticket:      ticket,
		Workspace:   j.Workspace,
		Kind:        j.Kind,
		Method:      j.Method,
		Path:        j.Path,
		Body:        j.Body,
		ContentType: j.ContentType,
		Stream:      j.Stream,
	}
}
