package peering

import (
	"maps"
	"math"
	"slices"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/limits"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

// setUsage writes the own use of the limits under pressure.
func setUsage(r *peerv1.NodeRecord, inFlight, queued []limits.Usage) {
	r.UsageKeys, r.UsageInFlight, r.UsageQueued = nil, nil, nil
	index := map[limits.Hash]int{}
	place := func(h limits.Hash) int {
		i, ok := index[h]
		if !ok {
			i = len(r.UsageKeys)
			index[h] = i
			r.UsageKeys = append(r.UsageKeys, uint32(h))
			r.UsageInFlight = append(r.UsageInFlight, 0)
			r.UsageQueued = append(r.UsageQueued, 0)
		}
		return i
	}
	for _, u := range inFlight {
		r.UsageInFlight[place(u.Hash)] = uint32(u.Count)
	}
	for _, u := range queued {
		r.UsageQueued[place(u.Hash)] = uint32(u.Count)
	}
}

func usageOf(r *peerv1.NodeRecord) (inFlight, queued map[limits.Hash]int) {
	inFlight = map[limits.Hash]int{}
	queued = map[limits.Hash]int{}
	for i, key := range r.GetUsageKeys() {
		if i < len(r.GetUsageInFlight()) && i < len(r.GetUsageQueued()) {
			inFlight[limits.Hash(key)] = int(r.GetUsageInFlight()[i])
			queued[limits.Hash(key)] = int(r.GetUsageQueued()[i])
		}
	}
	return inFlight, queued
}

// leavesOut writes leaves in the order of their endpoints.
func leavesOut(in map[string]drain.Leave) []*peerv1.Leave {
	out := make([]*peerv1.Leave, 0, len(in))
	for _, id := range slices.Sorted(maps.Keys(in)) {
		out = append(out, &peerv1.Leave{Endpoint: id, Incarnation: in[id].Incarnation})
	}
	return out
}

func documentsOut(now time.Time, in []published.Value) []*peerv1.Document {
	out := make([]*peerv1.Document, 0, len(in))
	for _, v := range in {
		age := max(now.Sub(v.FirstReadAt).Milliseconds(), 0)
		d := &peerv1.Document{Name: v.Name, Revision: uint64(v.Revision), Content: v.Content, AgeMs: uint32(min(age, math.MaxUint32)), Certain: v.Certain}
		if v.Content == nil {
			d.Base, d.Content, d.Sum = uint64(v.Base), v.Changes, v.ContentHash
		}
		out = append(out, d)
	}
	return out
}

func documentIn(now time.Time, d *peerv1.Document) published.Value {
	age := time.Duration(d.GetAgeMs()) * time.Millisecond
	v := published.Value{Name: d.GetName(), Revision: revision.ID(d.GetRevision()), Content: d.GetContent(), FirstReadAt: now.Add(-age), Certain: d.GetCertain()}
	if d.GetBase() > 0 {
		v.Base, v.Content, v.Changes, v.ContentHash = revision.ID(d.GetBase()), nil, d.GetContent(), d.GetSum()
	}
	return v
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
