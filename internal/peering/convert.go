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

// encodeUsage sets the usage in a record. Requests in flight and queued requests share one list
// of keys; a missing count is zero.
func encodeUsage(r *peerv1.NodeRecord, inFlight, queued []limits.Usage) {
	r.UsageKeys, r.UsageInFlight, r.UsageQueued = nil, nil, nil
	index := map[limits.Hash]int{}
	indexOf := func(h limits.Hash) int {
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
		r.UsageInFlight[indexOf(u.Hash)] = uint32(u.Count)
	}
	for _, u := range queued {
		r.UsageQueued[indexOf(u.Hash)] = uint32(u.Count)
	}
}

func decodeUsage(r *peerv1.NodeRecord) (inFlight, queued map[limits.Hash]int) {
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

// encodeLeaves encodes leaves in the order of their endpoint IDs, so that equal leaves give
// equal records.
func encodeLeaves(leaves map[string]drain.Leave) []*peerv1.Leave {
	encoded := make([]*peerv1.Leave, 0, len(leaves))
	for _, id := range slices.Sorted(maps.Keys(leaves)) {
		encoded = append(encoded, &peerv1.Leave{Endpoint: id, Incarnation: leaves[id].Incarnation})
	}
	return encoded
}

// encodeDocuments omits values that no message has room for: the peer would refuse the message
// with everything else in it. It reads these values from the platform instead.
func encodeDocuments(now time.Time, values []published.Value) []*peerv1.Document {
	docs := make([]*peerv1.Document, 0, len(values))
	for _, v := range values {
		age := max(now.Sub(v.FirstReadAt).Milliseconds(), 0)
		d := &peerv1.Document{Name: v.Name, Revision: uint64(v.Revision), Content: v.Content, AgeMs: uint32(min(age, math.MaxUint32)), Certain: v.Certain}
		if v.Content == nil {
			d.Base, d.Content, d.Sum = uint64(v.Base), v.Changes, v.ContentHash
		}
		if len(d.GetContent()) <= MaxDocumentBytes {
			docs = append(docs, d)
		}
	}
	return docs
}

func decodeDocument(now time.Time, d *peerv1.Document) published.Value {
	age := time.Duration(d.GetAgeMs()) * time.Millisecond
	v := published.Value{Name: d.GetName(), Revision: revision.ID(d.GetRevision()), Content: d.GetContent(), FirstReadAt: now.Add(-age), Certain: d.GetCertain()}
	if d.GetBase() > 0 {
		v.Base, v.Content, v.Changes, v.ContentHash = revision.ID(d.GetBase()), nil, d.GetContent(), d.GetSum()
	}
	return v
}

func newRunRequest(ticket string, j *job.Job) *peerv1.RunRequest {
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
