package scheduler

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/enginespeed"
	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// Load handled here: streams have an objective for the time between two events (table.Row.MaxGap),
// engines differ in speed, and each has transient slowdowns. On slow engines that prefill a prompt
// during a transient slowdown, all streams violate the objective; fast engines never do. Of 743 long
// answers at 48 engines, a quarter of them fast, 207 were late only because of a gap. So long answers
// go to engines that meet the objective, short ones leave these engines to them, and a prompt is not
// sent to an engine where its prefill would delay the events of streams at present. Nothing waits or
// is refused for that. The tiers are those of routing.GapObjective.

const (
	// longAnswerTime is the expected duration from which an answer counts as long. On the measured
	// engines a transient slowdown begins every 6.7 s (1 s long, 15% of the time), so that one
	// begins during every fourth stream of 2 s. Most shorter streams see none.
	longAnswerTime = 2 * time.Second
	// gapSafety is the part of an objective between events that an engine's longest gap must stay
	// within to meet it. Violations of 180 ms were 183 to 189 ms long, and estimates may be
	// up to a tenth off.
	gapSafety = 0.9
	// minGapRatio is the ratio of the mean longest gap of engines that don't meet an objective to
	// that of the engines that do, from which the engines count as different. Below it, estimates
	// around the objective would divide engines that are alike. The measured ratio is 2.2.
	minGapRatio = 1.2
	// preferredStartMargin is the time before the objective by which an engine must be expected to
	// start an answer to be preferred for its gaps, since another engine would start it sooner. It
	// is twice startMargin: at 6,100 tokens per second, a prompt that a peer sends at the same time
	// takes 0.5 s, and a transient slowdown that begins meanwhile delays the start by 0.6 s.
	preferredStartMargin = 2 * startMargin
	// gapSortRefresh is the interval at which the engines of a target are divided by an objective.
	// It is as long as an estimate used there may be old.
	gapSortRefresh = maxSpeedAge
	// maxGapSorts bounds the objectives between events for which a target's engines are divided
	// at a time, and maxGapRows the rows of a target whose objectives are kept.
	maxGapSorts = 8
	maxGapRows  = 256
	// localSortSample and sortSample are how many engines of the wanted sort are compared in
	// addition to the other candidates, of the own data centre and in total. They are few, so that
	// many entries don't all choose the same engine.
	localSortSample = 4
	sortSample      = 6
	// sortSampleVisits bounds the engines that are looked at for each one that is compared.
	sortSampleVisits = 4
	// explorationShare is the fraction of the decisions in which a long answer treats an idle
	// engine of unknown speed like one that meets the objective. Otherwise such an engine would
	// never show its speed where there are no short answers.
	explorationShare = 1.0 / 16
)

// gapObjectives holds the objectives between events of the rows of one target.
type gapObjectives struct {
	byRow map[gapRow]time.Duration
	// strictest is the smallest one; zero if no row has one. Peers' streams are assumed to have it.
	strictest time.Duration
}

// gapRow identifies a row of the table.
type gapRow struct{ workspace, kind string }

// record records the objective of a row, zero for none.
func (g *gapObjectives) record(row gapRow, maxGap time.Duration) {
	if g.byRow[row] == maxGap {
		return
	}
	if len(g.byRow) >= maxGapRows {
		clear(g.byRow)
	}
	g.byRow[row] = maxGap
	g.strictest = 0
	for _, other := range g.byRow {
		if other > 0 && (g.strictest == 0 || other < g.strictest) {
			g.strictest = other
		}
	}
}

func (s *Scheduler) gapObjectivesOf(target string) *gapObjectives {
	g := s.gapObjectives[target]
	if g == nil {
		g = &gapObjectives{byRow: map[gapRow]time.Duration{}}
		s.gapObjectives[target] = g
	}
	return g
}

// gapSorts divides the engines of a target by an objective between events. The lists are of the own
// data centre and of the others.
type gapSorts struct {
	maxGap      time.Duration
	refreshedAt time.Time
	meeting     [2][]*endpoint
	others      [2][]*endpoint
	// differ is set if there are clearly both sorts.
	differ bool
	// tokenTime is the mean time per output token at the engines that don't meet the objective.
	tokenTime time.Duration
}

// meetsGap reports whether an engine meets an objective between events. An engine whose gaps are
// unknown doesn't.
func meetsGap(longestGap, maxGap time.Duration) bool {
	return longestGap > 0 && float64(longestGap) <= gapSafety*float64(maxGap)
}

// gapSorts returns the engines of a target, divided by an objective, at most gapSortRefresh old.
func (s *Scheduler) gapSorts(now time.Time, targetName string, maxGap time.Duration) *gapSorts {
	t := s.target(targetName)
	i := slices.IndexFunc(t.sorts, func(g *gapSorts) bool { return g.maxGap == maxGap })
	if i >= 0 && now.Sub(t.sorts[i].refreshedAt) < gapSortRefresh {
		return t.sorts[i]
	}
	if i < 0 {
		if len(t.sorts) >= maxGapSorts {
			t.sorts = slices.Delete(t.sorts, 0, 1)
		}
		t.sorts = append(t.sorts, &gapSorts{maxGap: maxGap})
		i = len(t.sorts) - 1
	}
	s.divide(now, targetName, t.sorts[i])
	return t.sorts[i]
}

// divide divides the engines of a target anew.
func (s *Scheduler) divide(now time.Time, targetName string, g *gapSorts) {
	g.refreshedAt = now
	for i := range g.meeting {
		g.meeting[i], g.others[i] = g.meeting[i][:0], g.others[i][:0]
	}
	var meetingGaps, otherGaps, tokenTimes meanDuration
	for e := range s.notLeaving(targetName) {
		location := 0
		if e.spec.DataCenter != s.cfg.DataCenter {
			location = 1
		}
		speed := s.speedOf(now, e, maxSpeedAge)
		gap := speed.LongestGap(e.spec.TokensPerEvent)
		if meetsGap(gap, g.maxGap) {
			g.meeting[location] = append(g.meeting[location], e)
			meetingGaps.add(gap)
			continue
		}
		g.others[location] = append(g.others[location], e)
		if gap > 0 {
			otherGaps.add(gap)
			tokenTimes.add(max(speed.TokenTime, 0))
		}
	}
	g.tokenTime = tokenTimes.mean()
	g.differ = meetingGaps.count > 0 && float64(otherGaps.mean()) >= minGapRatio*float64(meetingGaps.mean())
}

// meanDuration computes a mean.
type meanDuration struct {
	sum   time.Duration
	count int
}

func (m *meanDuration) add(d time.Duration) {
	m.sum += d
	m.count++
}

// mean returns the mean, or zero without a value.
func (m *meanDuration) mean() time.Duration { return m.sum / time.Duration(max(m.count, 1)) }

// placesByGaps reports whether a request is placed by the objectives between events.
func (s *Scheduler) placesByGaps(it *item) bool {
	return s.cfg.GapObjective && s.learnsEngineSpeed() && it.req.PromptTokens > 0
}

// gapPreference returns which engines a request prefers by their gaps, and records the objective of its
// row.
//
// Whether its answer is long follows from the expected number of its tokens and the time per token
// at the engines that don't meet the objective, where it would run without a preference.
func (s *Scheduler) gapPreference(now time.Time, it *item) routing.GapPreference {
	if !s.placesByGaps(it) {
		return routing.AnyGaps
	}
	row := &it.req.Row
	s.gapObjectivesOf(row.Target).record(gapRow{row.Workspace, row.Kind}, row.MaxGap)
	if row.MaxGap == 0 {
		return routing.AnyGaps
	}
	sorts := s.gapSorts(now, row.Target, row.MaxGap)
	if !sorts.differ {
		return routing.AnyGaps
	}
	if s.expectedSteps(&it.req)*sorts.tokenTime.Seconds() >= longAnswerTime.Seconds() {
		return routing.AvoidGaps
	}
	return routing.TolerateGaps
}

// addedSort is a sort of engines that was added to the candidates.
type addedSort struct {
	maxGap time.Duration
	gaps   routing.GapPreference
}

// addGapCandidates adds engines of the sort that a request prefers to the candidates. The samples
// that collectCandidates compares may hold none where that sort is rare.
func (s *Scheduler) addGapCandidates(now time.Time, it *item, gaps routing.GapPreference) {
	added := addedSort{it.req.Row.MaxGap, gaps}
	if gaps == routing.AnyGaps || len(s.isolated) > 0 || slices.Contains(s.addedSorts, added) {
		return
	}
	s.addedSorts = append(s.addedSorts, added)
	sorts := s.gapSorts(now, it.req.Row.Target, it.req.Row.MaxGap)
	wanted := &sorts.others
	if gaps == routing.AvoidGaps {
		wanted = &sorts.meeting
	}
	count := s.addSortSample(now, wanted[0], localSortSample)
	s.addSortSample(now, wanted[1], sortSample-count)
}

// addSortSample adds up to maxCount of the endpoints that may be sent requests, from a random one on,
// and returns how many it has added.
func (s *Scheduler) addSortSample(now time.Time, endpoints []*endpoint, maxCount int) int {
	if len(endpoints) == 0 {
		return 0
	}
	meanLatency := s.meanInterTokenLatency(now)
	first := s.cfg.Rand.IntN(len(endpoints))
	count := 0
	for i := range min(len(endpoints), sortSampleVisits*maxCount) {
		e := endpoints[(first+i)%len(endpoints)]
		if count == maxCount || e.leaving || e.candidateRound == s.candidateRound || s.remoteLoadUnknown(now, e) {
			continue
		}
		s.addCandidate(now, e, meanLatency)
		count++
	}
	return count
}

// evaluateGaps sets the fields of a candidate that concern the time between events.
func (s *Scheduler) evaluateGaps(now time.Time, it *item, gaps routing.GapPreference, c *routing.Candidate, e *endpoint) {
	if !s.placesByGaps(it) {
		return
	}
	speed := s.speedOf(now, e, maxCandidateSpeedAge)
	c.DisturbsStreams = s.disturbsStreams(it.req.Row.Target, e, speed)
	c.GapRatio, c.MeetsGap = 0, false
	if maxGap := it.req.Row.MaxGap; maxGap > 0 {
		gap := speed.LongestGap(e.spec.TokensPerEvent)
		c.GapRatio = float64(gap) / float64(maxGap)
		c.MeetsGap = meetsGap(gap, maxGap) || gaps == routing.AvoidGaps && s.explores(e, speed)
	}
	waited := now.Sub(it.req.ArrivedAt)
	c.StartsWithMargin = it.req.Row.Objective == 0 || waited+c.ExpectedStart+preferredStartMargin <= it.req.Row.Objective
}

// explores reports whether an idle engine of unknown speed is treated like one that meets the
// objective, so that it shows its speed.
func (s *Scheduler) explores(e *endpoint, speed *enginespeed.Estimate) bool {
	return !speed.Known && e.ownRunning+e.peersRunning == 0 && s.cfg.Rand.Float64() < explorationShare
}

// disturbsStreams reports whether the prefill of a prompt at an engine in a transient slowdown is
// expected to violate the objective of streams that run there. Those of this entry are known; those
// of peers are assumed to have the strictest objective of this entry's rows.
func (s *Scheduler) disturbsStreams(target string, e *endpoint, speed *enginespeed.Estimate) bool {
	strictest := s.gapObjectivesOf(target).strictest
	gap := speed.GapNow(e.spec.TokensPerEvent)
	if speed.Slowdown <= 1 || strictest == 0 || gap <= strictest {
		return false
	}
	if e.peersRunning > 0 {
		return true
	}
	if e.ownRunning == 0 {
		return false
	}
	for _, it := range s.running {
		if maxGap := it.req.Row.MaxGap; it.endpoint == e && maxGap > 0 && gap > maxGap {
			return true
		}
	}
	return false
}
