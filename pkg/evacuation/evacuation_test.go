package evacuation_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bridgehoist/bridgehoist/internal/fixedseed"
	"github.com/bridgehoist/bridgehoist/pkg/evacuation"
)

func init() { fixedseed.Set() }

var link = evacuation.Link{BytesPerToken: 1000, BytesPerSecond: 10e6, Overhead: 10 * time.Millisecond, CrossDataCenterFactor: 2}

// TestEntriesPlanDisjointCopies: entries with the same list of runs plan copies that never overlap on
// a link, and no run twice.
func TestEntriesPlanDisjointCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		owner := map[string]int{}
		tokens := map[string]int{}
		var runs []evacuation.Run
		for i := range rapid.IntRange(1, 8).Draw(t, "runs") {
			id := fmt.Sprintf("r%d", i)
			owner[id] = rapid.IntRange(0, entries-1).Draw(t, "owner")
			tokens[id] = rapid.IntRange(100, 7000).Draw(t, "tokens")
			runs = append(runs, evacuation.Run{RequestID: id, Tokens: tokens[id], OutputTokens: rapid.IntRange(0, tokens[id]).Draw(t, "made")})
		}
		crossDataCenter := map[string]bool{}
		var targets []evacuation.Target
		for i := range rapid.IntRange(0, 5).Draw(t, "targets") {
			id := fmt.Sprintf("t%d", i)
			dataCenter := "here"
			if crossDataCenter[id] = rapid.Bool().Draw(t, "far"); crossDataCenter[id] {
				dataCenter = "there"
			}
			targets = append(targets, evacuation.Target{ID: id, DataCenter: dataCenter, FreeTokens: rapid.IntRange(0, 20000).Draw(t, "free")})
		}
		remaining := time.Duration(rapid.IntRange(0, 3000).Draw(t, "left")) * time.Millisecond
		type span struct {
			from, to time.Duration
			links    [2]string
		}
		var spans []span
		moved := map[string]bool{}
		used := map[string]int{}
		for e := range entries {
			sources := []evacuation.Source{{ID: "s0", DataCenter: "here", Remaining: remaining}, {ID: "s1", DataCenter: "here", Remaining: remaining}}
			for i, r := range runs {
				r.Local = owner[r.RequestID] == e
				s := &sources[i%len(sources)]
				s.Runs = append(s.Runs, r)
			}
			for _, s := range evacuation.Plan(evacuation.Input{Sources: sources, Targets: targets, Link: link}) {
				if owner[s.RequestID] != e || moved[s.RequestID] {
					t.Fatalf("entry %[2]d plans %[1]s, which it doesn't own or which is planned already", s.RequestID, e)
				}
				moved[s.RequestID] = true
				used[s.Target] += tokens[s.RequestID]
				end := s.Start + link.CopyTime(tokens[s.RequestID], crossDataCenter[s.Target])
				spans = append(spans, span{s.Start, end, [2]string{s.Source, s.Target}})
			}
		}
		for i, a := range spans {
			if remaining > 0 && a.to > remaining {
				t.Fatalf("a copy ends at %v, after the source at %v", a.to, remaining)
			}
			for _, b := range spans[i+1:] {
				sharesLink := a.links[0] == b.links[0] || a.links[1] == b.links[1]
				if sharesLink && a.from < b.to && b.from < a.to {
					t.Fatalf("%v and %v overlap", a, b)
				}
			}
		}
		for _, target := range targets {
			if used[target.ID] > target.FreeTokens {
				t.Fatalf("%s is assigned %d tokens, but has memory for %d", target.ID, used[target.ID], target.FreeTokens)
			}
		}
	})
}

// TestEnginesLeavingTogetherUseDifferentTargets: one plan covers both engines, so that no link
// carries the copies of two.
func TestEnginesLeavingTogetherUseDifferentTargets(t *testing.T) {
	g := NewWithT(t)
	steps := evacuation.Plan(evacuation.Input{
		Sources: []evacuation.Source{
			{ID: "s1", Runs: []evacuation.Run{{RequestID: "a", Tokens: 1000, Local: true}}},
			{ID: "s2", Runs: []evacuation.Run{{RequestID: "b", Tokens: 1000, Local: true}}},
		},
		Targets: []evacuation.Target{{ID: "t1", FreeTokens: 5000}, {ID: "t2", FreeTokens: 5000}},
		Link:    link,
	})
	g.Expect(steps).To(HaveLen(2))
	g.Expect(steps[0].Target).NotTo(Equal(steps[1].Target))
	g.Expect(steps[0].Start).To(BeZero())
	g.Expect(steps[1].Start).To(BeZero())
}

func TestHighestValuePerTokenGoesFirst(t *testing.T) {
	g := NewWithT(t)
	steps := evacuation.Plan(evacuation.Input{
		Link: link,
		Sources: []evacuation.Source{{ID: "s", Runs: []evacuation.Run{
			{RequestID: "long prompt", Tokens: 6000, Local: true},
			{RequestID: "long answer", Tokens: 4600, OutputTokens: 1600, Local: true},
			{RequestID: "short prompt", Tokens: 1500, Local: true},
			{RequestID: "not listed", Tokens: 500, Local: true, Unlisted: true},
		}}},
		Targets: []evacuation.Target{{ID: "t", FreeTokens: 20000}},
	})
	var order []string
	for _, s := range steps {
		order = append(order, s.RequestID)
	}
	g.Expect(order).To(Equal([]string{"short prompt", "long answer", "long prompt", "not listed"}))
}

// TestSlackWhenTimeAllows: copies of entries that begin some ten milliseconds apart must not overlap.
// Without slack, a fifth of the pauses at 85 entries exceeded 200 ms.
func TestSlackWhenTimeAllows(t *testing.T) {
	g := NewWithT(t)
	plan := func(runs int, remaining time.Duration) []evacuation.Step {
		s := evacuation.Source{ID: "s", Remaining: remaining}
		for i := range runs {
			s.Runs = append(s.Runs, evacuation.Run{RequestID: fmt.Sprintf("r%d", i), Tokens: 1000, Local: true})
		}
		return evacuation.Plan(evacuation.Input{
			Sources: []evacuation.Source{s}, Link: link, Targets: []evacuation.Target{{ID: "t", FreeTokens: 100_000}},
		})
	}
	copyTime := link.CopyTime(1000, false)
	withSlack := plan(3, 2*time.Second)
	g.Expect(withSlack[1].Start).To(Equal(copyTime + 80*time.Millisecond))
	withoutSlack := plan(3, 3*copyTime)
	g.Expect(withoutSlack).To(HaveLen(3))
	g.Expect(withoutSlack[1].Start).To(Equal(copyTime))
	g.Expect(plan(10, 3*copyTime)).To(HaveLen(3), "runs that can't be moved in time are not planned")
}

func TestSameDataCenterTargetsGoFirst(t *testing.T) {
	g := NewWithT(t)
	steps := evacuation.Plan(evacuation.Input{
		Link: link,
		Sources: []evacuation.Source{{ID: "s", DataCenter: "here", Runs: []evacuation.Run{
			{RequestID: "a", Tokens: 900, Local: true}, {RequestID: "b", Tokens: 1000, Local: true},
		}}},
		Targets: []evacuation.Target{{ID: "far", DataCenter: "there", FreeTokens: 5000}, {ID: "near", DataCenter: "here", FreeTokens: 1500}},
	})
	g.Expect(steps).To(HaveLen(2))
	g.Expect(steps[0].Target).To(Equal("near"))
	g.Expect(steps[1].Target).To(Equal("far"), "the target in the same data centre is full")
	sources := []evacuation.Source{{ID: "s", Runs: []evacuation.Run{{RequestID: "a", Tokens: 1, Local: true}}}}
	g.Expect(evacuation.Plan(evacuation.Input{Sources: sources})).To(BeEmpty())
}

// TestSpareMemoryIsForRunsThatWouldBeLost: 221 of 743 runs had no step although their targets had
// free memory at that moment, since that is reserved for the growth of the targets' runs.
func TestSpareMemoryIsForRunsThatWouldBeLost(t *testing.T) {
	g := NewWithT(t)
	in := evacuation.Input{
		Link: link,
		Sources: []evacuation.Source{{ID: "s", Runs: []evacuation.Run{
			{RequestID: "a", Tokens: 3000, Local: true}, {RequestID: "b", Tokens: 3000, Local: true}, {RequestID: "c", Tokens: 3000, Local: true},
		}}},
		Targets: []evacuation.Target{{ID: "tight", FreeTokens: 100, SpareTokens: 3000}, {ID: "free", FreeTokens: 6100}},
	}
	steps := evacuation.Plan(in)
	g.Expect(steps).To(HaveLen(3))
	g.Expect([]string{steps[0].Target, steps[1].Target, steps[2].Target}).To(Equal([]string{"free", "free", "tight"}))
	in.Targets[0].SpareTokens = 0
	g.Expect(evacuation.Plan(in)).To(HaveLen(2))
}

// TestSlotsLimitTheRunsOfATarget guards against copies that a target refuses for lack of a slot.
func TestSlotsLimitTheRunsOfATarget(t *testing.T) {
	g := NewWithT(t)
	steps := evacuation.Plan(evacuation.Input{
		Link:    link,
		Sources: []evacuation.Source{{ID: "s", Runs: []evacuation.Run{{RequestID: "a", Tokens: 10, Local: true}, {RequestID: "b", Tokens: 10, Local: true}}}},
		Targets: []evacuation.Target{{ID: "t", FreeTokens: 5000, FreeSlots: 1}},
	})
	g.Expect(steps).To(HaveLen(1))
}

// TestCostlyLossesAreAvoidedFirst: if not all runs fit, neither a run that was moved before nor the
// more expensive one of two is lost.
func TestCostlyLossesAreAvoidedFirst(t *testing.T) {
	for name, c := range map[string]struct {
		runs []evacuation.Run
		free int
		want []string
	}{
		"near its end": {[]evacuation.Run{
			{RequestID: "new", Tokens: 3000}, {RequestID: "late", Tokens: 3700, OutputTokens: 700},
		}, 4000, []string{"late"}},
		"a long prompt rather than a short one": {[]evacuation.Run{
			{RequestID: "short", Tokens: 2000}, {RequestID: "long", Tokens: 6000},
		}, 6000, []string{"long"}},
		"two short ones rather than a long one": {[]evacuation.Run{
			{RequestID: "one", Tokens: 2000}, {RequestID: "two", Tokens: 2000}, {RequestID: "long", Tokens: 6000},
		}, 6000, []string{"one", "two"}},
		"moved before": {[]evacuation.Run{
			{RequestID: "first", Tokens: 6000}, {RequestID: "again", Tokens: 2000, Moved: true},
		}, 6000, []string{"again"}},
		"unlisted ones last, though they were moved": {[]evacuation.Run{
			{RequestID: "listed", Tokens: 6000}, {RequestID: "unlisted", Tokens: 2000, Moved: true, Unlisted: true},
		}, 6000, []string{"listed"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			source := evacuation.Source{ID: "s", Runs: c.runs}
			for i := range source.Runs {
				source.Runs[i].Local = true
			}
			var moved []string
			for _, s := range evacuation.Plan(evacuation.Input{Link: link, Sources: []evacuation.Source{source}, Targets: []evacuation.Target{{ID: "t", FreeTokens: c.free}}}) {
				moved = append(moved, s.RequestID)
			}
			g.Expect(moved).To(ConsistOf(c.want))
		})
	}
}

// TestAlternativesHaveRoomBesideThePlan guards against alternatives that the plan itself fills, and
// against targets that are planned for though they refused a moment ago.
func TestAlternativesHaveRoomBesideThePlan(t *testing.T) {
	g := NewWithT(t)
	in := evacuation.Input{
		Link:    link,
		Sources: []evacuation.Source{{ID: "s", DataCenter: "here", Runs: []evacuation.Run{{RequestID: "a", Tokens: 3000, Local: true}, {RequestID: "other's", Tokens: 3000}}}},
		Targets: []evacuation.Target{
			{ID: "one", DataCenter: "here", FreeTokens: 3000}, {ID: "two", DataCenter: "here", FreeTokens: 3000},
			{ID: "spare", DataCenter: "here", SpareTokens: 3000}, {ID: "far", DataCenter: "there", FreeTokens: 9000}, {ID: "full", DataCenter: "here", FreeTokens: 2999},
		},
	}
	steps := evacuation.Plan(in)
	g.Expect(steps).To(HaveLen(1))
	first := steps[0].Target
	g.Expect(first).To(BeElementOf("one", "two"))
	g.Expect(steps[0].Alternatives).To(Equal([]evacuation.Alternative{{"far", link.CopyTime(3000, true)}, {"spare", link.CopyTime(3000, false)}}))
	in.Refused = func(target string, tokens int) bool { return target == first && tokens >= 3000 }
	g.Expect(evacuation.Plan(in)[0].Target).NotTo(Equal(first))
}

// TestNextTarget guards against a generation that is given up on while its engine has time and
// another target has room, and against targets that are tried in vain.
func TestNextTarget(t *testing.T) {
	step := evacuation.Step{Target: "a", CopyTime: 100 * time.Millisecond, Alternatives: []evacuation.Alternative{{"b", 100 * time.Millisecond}, {"far", 200 * time.Millisecond}}}
	is := func(names ...string) func(string) bool {
		return func(target string) bool {
			for _, n := range names {
				if n == target {
					return true
				}
			}
			return false
		}
	}
	for name, c := range map[string]struct {
		evacuation.Conditions
		want string
	}{
		"the plan's target first":              {evacuation.Conditions{HasRoom: is("a", "b")}, "a"},
		"its room was used up since":           {evacuation.Conditions{HasRoom: is("b")}, "b"},
		"none seems to have room":              {evacuation.Conditions{HasRoom: is()}, "a"},
		"the next at once":                     {evacuation.Conditions{Tried: []string{"a"}}, "b"},
		"refused another of this size":         {evacuation.Conditions{Refused: is("a", "b")}, "far"},
		"the last":                             {evacuation.Conditions{Tried: []string{"a", "b"}, Remaining: 250 * time.Millisecond}, "far"},
		"no time for the last":                 {evacuation.Conditions{Tried: []string{"a", "b"}, Remaining: 150 * time.Millisecond}, ""},
		"the plan's target though time is out": {evacuation.Conditions{HasRoom: is("b"), Remaining: time.Millisecond}, "a"},
		"all tried":                            {evacuation.Conditions{Tried: []string{"a", "b", "far"}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := step.NextTarget(c.Conditions)
			NewWithT(t).Expect(got).To(Equal(c.want))
			NewWithT(t).Expect(ok).To(Equal(c.want != ""))
		})
	}
}

// TestRefusals: a target that had no room isn't tried for a run of that size or more until its
// reports can show it, and is for a smaller one.
func TestRefusals(t *testing.T) {
	g := NewWithT(t)
	var r evacuation.Refusals
	at := time.Unix(100, 0)
	r.Record(at, "t", 3000)
	r.Record(at, "t", 5000)
	r.Record(at, "unreachable", 0)
	g.Expect(r.Refused(at, "t", 3000)).To(BeTrue())
	g.Expect(r.Refused(at, "t", 2999)).To(BeFalse())
	g.Expect(r.Refused(at, "other", 3000)).To(BeFalse())
	g.Expect(r.Refused(at, "unreachable", 0)).To(BeTrue())
	g.Expect(r.Refused(at.Add(499*time.Millisecond), "t", 3000)).To(BeTrue())
	g.Expect(r.Refused(at.Add(500*time.Millisecond), "t", 3000)).To(BeFalse())
}

// BenchmarkPlan plans 7 engines with 8 runs each, with 1,200 targets that have room, and with targets
// for half of the runs only, which takes all slacks and both orders.
func BenchmarkPlan(b *testing.B) {
	for name, free := range map[string]int{"room for all": 9000, "for half": 100} {
		in := evacuation.Input{Link: link}
		for s := range 7 {
			source := evacuation.Source{ID: fmt.Sprintf("s%d", s), Remaining: 3 * time.Second}
			for r := range 8 {
				source.Runs = append(source.Runs, evacuation.Run{RequestID: fmt.Sprintf("r%d-%d", s, r), Tokens: 3000 + 50*r, OutputTokens: 50 * r, Local: r == 0})
			}
			in.Sources = append(in.Sources, source)
		}
		for t := range 1200 {
			in.Targets = append(in.Targets, evacuation.Target{ID: fmt.Sprintf("t%d", t), FreeTokens: free, FreeSlots: 8})
		}
		for t := range 28 {
			in.Targets[t].FreeTokens = 3400
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				evacuation.Plan(in)
			}
		})
	}
}

// TestImpossibleLinksMakeNoNegativeTimes guards against overflows, by which copies would take no time.
func TestImpossibleLinksMakeNoNegativeTimes(t *testing.T) {
	for _, l := range []evacuation.Link{
		{BytesPerToken: 1e308, BytesPerSecond: 1}, {BytesPerToken: 1e10, BytesPerSecond: 1e-308}, {BytesPerToken: 1e308, BytesPerSecond: math.Inf(1)},
	} {
		NewWithT(t).Expect(l.CopyTime(1000, false)).To(Equal(24*time.Hour), "%+v", l)
	}
}
