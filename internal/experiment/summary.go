package experiment

import (
	"time"

	"github.com/bridgehoist/bridgehoist/internal/experiment/results"
	"github.com/bridgehoist/bridgehoist/internal/load"
)

// summary collects what the requests of one class of urgency went through.
type summary struct{ stalls, gaps, firsts []time.Duration }

func (s *summary) add(rec *load.Record) {
	s.stalls = append(s.stalls, rec.Stall)
	s.gaps = append(s.gaps, rec.Gaps...)
	s.firsts = append(s.firsts, rec.FirstToken)
}

// summarize works the result of a run out of its requests.
func (s *sim) summarize() *results.Run {
	r := s.result
	r.WindowLength = s.sc.Load.Duration / results.Windows
	r.Offered = make([]float64, results.Windows)
	r.Worth = make([]float64, results.Windows)
	var urgent, long summary
	for _, q := range s.requests {
		s.count(q)
		if q.record.Class != load.Answered {
			continue
		}
		if q.arrival.Kind.Urgent {
			urgent.add(&q.record)
		} else {
			long.add(&q.record)
		}
	}
	r.MemoryUsed = s.memory / float64(max(s.memoryCount, 1))
	r.CacheHits = s.cacheHits()
	for _, g := range s.engines {
		r.Placed = append(r.Placed, g.placed)
	}
	stalls := load.QuantilesOf(long.stalls)
	r.LongStallP50, r.LongStallP99 = stalls.P50, stalls.P99
	r.UrgentStallP99 = load.QuantilesOf(urgent.stalls).P99
	r.UrgentGapP99 = load.QuantilesOf(urgent.gaps).P99
	r.LongGapP99 = load.QuantilesOf(long.gaps).P99
	r.UrgentWait = load.QuantilesOf(urgent.firsts)
	r.LongWait = load.QuantilesOf(long.firsts)
	return r
}

// count adds one request to the sums.
func (s *sim) count(q *request) {
	r, rec := s.result, &q.record
	window := min(int(q.arrival.At/r.WindowLength), results.Windows-1)
	r.Sent++
	r.Preemptions += rec.Preemptions
	r.Offered[window] += float64(rec.Weight)
	if q.arrival.Kind.Urgent {
		r.UrgentSent++
	}
	switch rec.Class {
	case load.NotRun:
		r.Refused++
		if q.ended.Sub(q.arrived) < time.Second {
			r.RefusedEarly++
		}
	case load.Answered:
		r.Answered++
		r.WeightedAnswered += float64(rec.Weight)
		r.Worth[window] += float64(rec.Weight)
		if q.arrival.Kind.Urgent {
			r.UrgentAnswered++
		}
	}
}

// cacheHits is the share of the prompt tokens that engines found in their caches.
func (s *sim) cacheHits() float64 {
	prompts, cached := 0, 0
	for _, g := range s.engines {
		p, c := g.model.CacheHits()
		prompts += p
		cached += c
	}
	return float64(cached) / float64(max(prompts, 1))
}
