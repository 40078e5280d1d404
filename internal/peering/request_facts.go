package peering

import (
	"math"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// A fact is the termination of an endpoint instance that was running a request, or a completed run
// of the request; see quarantine.Fact. Every exchange also reconciles the two sides' facts. The
// caller sends the four-byte keys of its facts; the response contains the facts that the caller
// lacks and the keys of those that the server lacks, which the caller then pushes. Facts are not
// part of an entry's record, so that they outlive the entry that observed them, and a starting
// entry receives them with its first exchange. Without facts nothing is sent. Entries of older
// versions ignore these fields.

// Facts about parts of prompts (quarantine.PartFact) are reconciled in the same way in fields of their
// own: entries of older versions, which would take a part for a request, don't read them.

// maxFactsPerMessage bounds the facts and keys decoded from one message; a quarantine.Set retains
// no more.
const maxFactsPerMessage = quarantine.MaxFacts

func encodeFacts(now time.Time, facts []quarantine.Fact) []*peerv1.RequestFact {
	encoded := make([]*peerv1.RequestFact, 0, len(facts))
	for _, f := range facts {
		e := &peerv1.RequestFact{Mark: f.EventID, Whole: f.Completed, AgeMs: encodeAge(now, f.OccurredAt)}
		if f.BeforeIsolation {
			e.IdentityBeforeIsolation = f.Identity[:]
		} else {
			e.Identity = f.Identity[:]
		}
		encoded = append(encoded, e)
	}
	return encoded
}

// decodeFacts decodes facts and drops those whose identity has the wrong length.
func decodeFacts(now time.Time, encoded []*peerv1.RequestFact) []quarantine.Fact {
	var facts []quarantine.Fact
	for _, f := range encoded[:min(len(encoded), maxFactsPerMessage)] {
		identity, beforeIsolation := f.GetIdentity(), false
		if len(identity) == 0 && !f.GetWhole() {
			identity, beforeIsolation = f.GetIdentityBeforeIsolation(), true
		}
		if len(identity) != len(quarantine.Identity{}) {
			continue
		}
		age := time.Duration(f.GetAgeMs()) * time.Millisecond
		facts = append(facts, quarantine.Fact{
			Identity: quarantine.Identity(identity), EventID: f.GetMark(), Completed: f.GetWhole(),
			BeforeIsolation: beforeIsolation, OccurredAt: now.Add(-age),
		})
	}
	return facts
}

func encodePartFacts(now time.Time, facts []quarantine.PartFact) []*peerv1.PartFact {
	encoded := make([]*peerv1.PartFact, 0, len(facts))
	for _, f := range facts {
		e := &peerv1.PartFact{Mark: f.EventID, Whole: f.Completed, BeforeIsolation: f.BeforeIsolation, AgeMs: encodeAge(now, f.OccurredAt)}
		if !f.Completed {
			e.Request = f.Request[:]
		}
		for _, p := range f.Parts {
			e.Parts = append(e.Parts, string(p))
		}
		encoded = append(encoded, e)
	}
	return encoded
}

// decodePartFacts decodes facts; a quarantine.Set drops those that aren't valid.
func decodePartFacts(now time.Time, encoded []*peerv1.PartFact) []quarantine.PartFact {
	var facts []quarantine.PartFact
	for _, f := range encoded[:min(len(encoded), maxFactsPerMessage)] {
		fact := quarantine.PartFact{
			EventID: f.GetMark(), Completed: f.GetWhole(), BeforeIsolation: f.GetBeforeIsolation(),
			OccurredAt: now.Add(-time.Duration(f.GetAgeMs()) * time.Millisecond),
		}
		if !fact.Completed {
			copy(fact.Request[:], f.GetRequest())
		}
		for _, p := range f.GetParts() {
			fact.Parts = append(fact.Parts, quarantine.Part(p))
		}
		facts = append(facts, fact)
	}
	return facts
}

// encodeAge returns the age of an event in milliseconds.
func encodeAge(now, occurredAt time.Time) uint32 {
	return uint32(min(max(now.Sub(occurredAt).Milliseconds(), 0), math.MaxUint32))
}

func encodeKeys(keys []quarantine.Key) []uint32 {
	var encoded []uint32
	for _, key := range keys {
		encoded = append(encoded, uint32(key))
	}
	return encoded
}

func decodeKeys(encoded []uint32) []quarantine.Key {
	var keys []quarantine.Key
	for _, key := range encoded[:min(len(encoded), maxFactsPerMessage)] {
		keys = append(keys, quarantine.Key(key))
	}
	return keys
}
