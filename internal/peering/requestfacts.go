package peering

import (
	"math"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// Every exchange also makes the two sides' facts of crashing requests the same. The caller
// names what it knows by keys of four bytes each; the answer holds what it lacks and names
// what is wanted, which the caller pushes. Facts are no part of the record of an entry: they
// outlive who saw them, and an entry that starts learns them from whoever it asks first.
// While nothing is known nothing is sent. Entries of older versions leave them out.

// maxFactsIn bounds the facts of one message; a set holds no more.
const maxFactsIn = quarantine.MaxFacts

func factsOut(now time.Time, in []quarantine.Fact) []*peerv1.RequestFact {
	out := make([]*peerv1.RequestFact, 0, len(in))
	for _, f := range in {
		age := min(max(now.Sub(f.OccurredAt).Milliseconds(), 0), math.MaxUint32)
		out = append(out, &peerv1.RequestFact{Identity: f.Identity[:], Mark: f.EventID, Whole: f.Completed, AgeMs: uint32(age)})
	}
	return out
}

// factsIn reads facts; those with a bad identity are left out.
func factsIn(now time.Time, in []*peerv1.RequestFact) []quarantine.Fact {
	var out []quarantine.Fact
	for _, f := range in[:min(len(in), maxFactsIn)] {
		if len(f.GetIdentity()) != len(quarantine.Identity{}) {
			continue
		}
		age := time.Duration(f.GetAgeMs()) * time.Millisecond
		out = append(out, quarantine.Fact{Identity: quarantine.Identity(f.GetIdentity()), EventID: f.GetMark(), Completed: f.GetWhole(), OccurredAt: now.Add(-age)})
	}
	return out
}

func keysOut(in []quarantine.Key) []uint32 {
	var out []uint32
	for _, key := range in {
		out = append(out, uint32(key))
	}
	return out
}

func keysIn(in []uint32) []quarantine.Key {
	var out []quarantine.Key
	for _, key := range in[:min(len(in), maxFactsIn)] {
		out = append(out, quarantine.Key(key))
	}
	return out
}
