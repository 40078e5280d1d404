package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// applyAndActivate applies a list that has just been read and sets the result active, as gateways
// do.
func applyAndActivate(r *fleet.RestoreReconciler, now time.Time, era uint64, listed []fleet.Endpoint, closed []string) fleet.ReconciledList {
	result := r.Apply(now, now, era, listed, closed)
	r.SetActive(now, result.Endpoints)
	return result
}

func TestRemovedEndpointsStayExcludedAfterRestore(t *testing.T) {
	g := NewWithT(t)
	const gracePeriod = 5 * time.Second
	r := &fleet.RestoreReconciler{EndpointGracePeriod: gracePeriod, ClosedGracePeriod: gracePeriod}
	now := time.Unix(1000, 0)
	applyList := func(elapsed time.Duration, era uint64, listed ...string) (active []string, reapplyAt time.Time) {
		result := applyAndActivate(r, now.Add(elapsed), era, endpoints(listed...), nil)
		return ids(result.Endpoints), result.ReapplyAt
	}
	applyList(0, 1, "a", "b", "c", "d")
	applyList(time.Second, 1, "b", "c", "d")
	active, reapplyAt := applyList(2*time.Second, 2, "a", "b", "c", "d")
	g.Expect(active).To(ConsistOf("b", "c", "d"))
	g.Expect(reapplyAt).To(Equal(now.Add(2*time.Second + 2*gracePeriod)))
	active, _ = applyList(4*time.Second, 3, "a", "b", "c", "d")
	g.Expect(active).To(ConsistOf("b", "c", "d"), "another restore")
	active, _ = applyList(4*time.Second+gracePeriod-1, 3, "a", "b", "c", "d", "e")
	g.Expect(active).To(ConsistOf("b", "c", "d", "e"), "e isn't in the list from the copy")
	active, reapplyAt = applyList(4*time.Second+gracePeriod, 3, "a", "b", "c", "d", "e")
	g.Expect(active).To(ConsistOf("a", "b", "c", "d", "e"), "the record of a is still listed")
	g.Expect(reapplyAt.IsZero()).To(BeTrue())
}

// TestListReadBeforeGracePeriodKeepsExclusions checks an entry that is cut off and doesn't receive
// what is written again after a restore: a list read before the grace period has elapsed doesn't
// end the exclusions, twice the grace period does.
func TestListReadBeforeGracePeriodKeepsExclusions(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.RestoreReconciler{EndpointGracePeriod: 5 * time.Second, ClosedGracePeriod: 5 * time.Second}
	now := time.Unix(1000, 0)
	applyAndActivate(r, now, 1, endpoints("a", "b"), []string{"x"})
	applyAndActivate(r, now, 1, endpoints("b"), []string{"x"})
	restoredAt := now.Add(time.Second)
	applyAndActivate(r, restoredAt, 2, endpoints("a", "b"), nil)
	result := r.Apply(restoredAt.Add(9*time.Second), restoredAt.Add(4*time.Second), 2, endpoints("a", "b"), nil)
	g.Expect(ids(result.Endpoints)).To(ConsistOf("b"))
	g.Expect(result.ClosedDataCenters).To(Equal([]string{"x"}))
	result = r.Apply(result.ReapplyAt, restoredAt.Add(4*time.Second), 2, endpoints("a", "b"), nil)
	g.Expect(ids(result.Endpoints)).To(ConsistOf("a", "b"))
	g.Expect(result.ClosedDataCenters).To(BeEmpty())
}

func TestLapsedEndpointsReturnWithoutRestore(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.RestoreReconciler{EndpointGracePeriod: 5 * time.Second, ClosedGracePeriod: 5 * time.Second}
	now := time.Unix(1000, 0)
	applyAndActivate(r, now, 1, endpoints("a", "b", "c"), nil)
	applyAndActivate(r, now, 1, endpoints("b", "c"), nil)
	g.Expect(ids(applyAndActivate(r, now, 1, endpoints("a", "b", "c"), nil).Endpoints)).To(ConsistOf("a", "b", "c"))
	applyAndActivate(r, now, 1, endpoints("b", "c"), nil)
	result := applyAndActivate(r, now.Add(3*time.Minute), 2, endpoints("a", "b", "c"), nil)
	g.Expect(ids(result.Endpoints)).To(ConsistOf("a", "b", "c"), "the removal is older than any copy")
}

// TestMostEndpointsOfTargetAreNotExcluded checks that endpoints are used after a restore if nearly
// all of their target were removed, since their records lapsed in an outage.
func TestMostEndpointsOfTargetAreNotExcluded(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.RestoreReconciler{EndpointGracePeriod: 5 * time.Second, ClosedGracePeriod: 5 * time.Second}
	now := time.Unix(1000, 0)
	applyAndActivate(r, now, 1, endpoints("a", "b", "c", "d", "e"), nil)
	applyAndActivate(r, now, 1, endpoints("e"), nil)
	result := applyAndActivate(r, now, 2, endpoints("a", "b", "c", "d", "e"), nil)
	g.Expect(ids(result.Endpoints)).To(ConsistOf("a", "b", "c", "d", "e"))
}

// TestRewrittenRecordEndsExclusion checks that a record that lapses and is listed again ends the
// exclusion, since its endpoint has written it again.
func TestRewrittenRecordEndsExclusion(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.RestoreReconciler{EndpointGracePeriod: 5 * time.Second, ClosedGracePeriod: 5 * time.Second}
	now := time.Unix(1000, 0)
	applyAndActivate(r, now, 1, endpoints("a", "b", "c"), nil)
	applyAndActivate(r, now, 1, endpoints("b", "c"), nil)
	g.Expect(ids(applyAndActivate(r, now, 2, endpoints("a", "b", "c"), nil).Endpoints)).To(ConsistOf("b", "c"))
	applyAndActivate(r, now.Add(time.Second), 2, endpoints("b", "c"), nil)
	g.Expect(ids(applyAndActivate(r, now.Add(2*time.Second), 2, endpoints("a", "b", "c"), nil).Endpoints)).To(ConsistOf("a", "b", "c"))
}

func TestNextInstanceOfRemovedEndpointIsUsed(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.RestoreReconciler{EndpointGracePeriod: 5 * time.Second, ClosedGracePeriod: 5 * time.Second}
	now := time.Unix(1000, 0)
	applyAndActivate(r, now, 1, append(endpoints("b"), newEndpoint("a", 100, fleet.Live)), nil)
	applyAndActivate(r, now, 1, endpoints("b"), nil)
	result := applyAndActivate(r, now, 2, append(endpoints("b"), newEndpoint("a", 200, fleet.Live)), nil)
	g.Expect(ids(result.Endpoints)).To(ConsistOf("a", "b"))
}

// TestClosedGracePeriodEndsBeforeEndpoints checks that closed data centres have their own grace
// period. With the one of endpoints, a data centre that was opened again while the store was
// restored stayed closed for too long.
func TestClosedGracePeriodEndsBeforeEndpoints(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.RestoreReconciler{EndpointGracePeriod: 10 * time.Second, ClosedGracePeriod: 4 * time.Second}
	now := time.Unix(1000, 0)
	applyAndActivate(r, now, 1, endpoints("a", "b"), []string{"x"})
	applyAndActivate(r, now, 1, endpoints("b"), []string{"x"})
	result := applyAndActivate(r, now, 2, endpoints("a", "b"), nil)
	g.Expect(result.ReapplyAt).To(Equal(now.Add(8 * time.Second)))
	result = r.Apply(result.ReapplyAt, now, 2, endpoints("a", "b"), nil)
	g.Expect(result.ClosedDataCenters).To(BeEmpty())
	g.Expect(ids(result.Endpoints)).To(ConsistOf("b"))
	g.Expect(result.ReapplyAt).To(Equal(now.Add(20 * time.Second)))
}

func TestClosedDataCentersStayClosedAfterRestore(t *testing.T) {
	g := NewWithT(t)
	const gracePeriod = 5 * time.Second
	r := &fleet.RestoreReconciler{EndpointGracePeriod: gracePeriod, ClosedGracePeriod: gracePeriod}
	now := time.Unix(1000, 0)
	closedAfter := func(elapsed time.Duration, era uint64, listed ...string) []string {
		return applyAndActivate(r, now.Add(elapsed), era, endpoints("a"), listed).ClosedDataCenters
	}
	g.Expect(closedAfter(0, 1, "x", "y")).To(Equal([]string{"x", "y"}))
	g.Expect(closedAfter(time.Second, 1, "x")).To(Equal([]string{"x"}), "opened again")
	g.Expect(closedAfter(2*time.Second, 2)).To(Equal([]string{"x"}), "the copy is from before the closing")
	g.Expect(closedAfter(3*time.Second, 3, "z")).To(Equal([]string{"x", "z"}), "another restore")
	g.Expect(closedAfter(4*time.Second, 3, "x", "z")).To(Equal([]string{"x", "z"}), "written again")
	g.Expect(closedAfter(5*time.Second, 3, "z")).To(Equal([]string{"z"}), "opened again")
	g.Expect(closedAfter(3*time.Second+gracePeriod, 3)).To(BeEmpty())
}

// TestEndpointsMissingFromRestoredCopyAreRetained checks the retention of endpoints missing from
// the first list after a restore, however few they are.
func TestEndpointsMissingFromRestoredCopyAreRetained(t *testing.T) {
	g := NewWithT(t)
	retention := &fleet.EndpointRetention{GracePeriod: 2 * time.Second}
	now := time.Unix(1000, 0)
	retention.Apply(now, endpoints("a", "b", "c", "d", "e"), false)
	effective, reapplyAt := retention.Apply(now, endpoints("a", "b", "c", "d"), true)
	g.Expect(ids(effective)).To(ConsistOf("a", "b", "c", "d", "e"))
	g.Expect(reapplyAt).To(Equal(now.Add(2 * time.Second)))
	effective, _ = retention.Apply(now.Add(time.Second), endpoints("a", "c", "d"), false)
	g.Expect(ids(effective)).To(ConsistOf("a", "c", "d", "e"), "b was removed after the restore")
	effective, _ = retention.Apply(now.Add(2*time.Second), endpoints("a", "c", "d"), false)
	g.Expect(ids(effective)).To(ConsistOf("a", "c", "d"))
}
