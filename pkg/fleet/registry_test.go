package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bridgehoist/bridgehoist/internal/fixedseed"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

func init() { fixedseed.Set() }

func newRecord(id string, revision uint64) fleet.Record {
	return fleet.Record{ID: id, Revision: revision, Content: []byte(fmt.Sprintf(`{"n":%d}`, revision))}
}

// TestRegistriesConverge checks that readers that list, watch or copy a peer's registry at any
// point of the same history end with the same bytes at the same revision.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []fleet.Record
		state := map[string]fleet.Record{}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			c := newRecord(fmt.Sprintf("e%d", rapid.IntRange(0, 4).Draw(t, "id")), uint64(i+1))
			c.Deleted = rapid.Bool().Draw(t, "deleted")
			history = append(history, c)
		}
		full := fleet.NewRegistry()
		full.Apply(0, history)
		joinAt := rapid.IntRange(0, len(history)).Draw(t, "from")
		for _, c := range history[:joinAt] {
			if c.Deleted {
				delete(state, c.ID)
			} else {
				state[c.ID] = c
			}
		}
		joined := fleet.NewRegistry()
		if rapid.Bool().Draw(t, "from a peer") {
			peer := fleet.NewRegistry()
			peer.Apply(0, history[:joinAt])
			data, err := peer.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if err := joined.Adopt(data, peer.Revision()); err != nil {
				t.Fatal(err)
			}
		} else {
			var list []fleet.Record
			for _, c := range state {
				list = append(list, c)
			}
			joined.Replace(list, revision.ID(joinAt))
		}
		joined.Apply(0, history)
		a, _ := full.Encode()
		b, _ := joined.Encode()
		if string(a) != string(b) || full.Revision() != joined.Revision() {
			t.Fatalf("%s at %d, %s at %d", a, full.Revision(), b, joined.Revision())
		}
	})
}

func TestRegistryIgnoresOlderRevisions(t *testing.T) {
	g := NewWithT(t)
	r := fleet.NewRegistry()
	g.Expect(r.Apply(0, []fleet.Record{newRecord("a", 5), newRecord("b", 6)})).To(BeTrue())
	g.Expect(r.Apply(0, []fleet.Record{newRecord("a", 3)})).To(BeFalse())
	g.Expect(r.Replace([]fleet.Record{newRecord("a", 5)}, 4)).To(BeFalse(), "a list from a stale replica")
	g.Expect(r.Adopt([]byte("[]"), 2)).To(Succeed())
	g.Expect(r.Revision()).To(Equal(revision.ID(6)))
	g.Expect(r.Adopt([]byte("{"), 9)).NotTo(Succeed())
	g.Expect(r.Revision()).To(Equal(revision.ID(6)), "a registry that can't be decoded changes nothing")
}

func TestBadRecordsAreExcludedAndReported(t *testing.T) {
	g := NewWithT(t)
	list, badRecords := fleet.FromRecords([]fleet.Record{newRecord("a", 1), newRecord("b", 2)}, func(id string, _ []byte) (fleet.Endpoint, error) {
		if id == "a" {
			return fleet.Endpoint{}, fmt.Errorf("bad")
		}
		return fleet.Endpoint{ID: id}, nil
	})
	g.Expect(badRecords).To(HaveLen(1))
	_, ok := list.Endpoint("b")
	g.Expect(ok).To(BeTrue())
	g.Expect(list.Endpoints).To(HaveLen(1))
}

func endpoints(ids ...string) []fleet.Endpoint {
	var list []fleet.Endpoint
	for _, id := range ids {
		list = append(list, fleet.Endpoint{ID: id, Targets: []string{"t"}, State: fleet.Live})
	}
	return list
}

func ids(list []fleet.Endpoint) []string {
	var names []string
	for _, e := range list {
		names = append(names, e.ID)
	}
	return names
}

func TestEndpointsLapsingTogetherAreRetained(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	retention := fleet.EndpointRetention{GracePeriod: 2 * time.Second}
	retention.Apply(now, endpoints("a", "b", "c"), false)
	effective, reapplyAt := retention.Apply(now, endpoints("a"), false)
	g.Expect(ids(effective)).To(ConsistOf("a", "b", "c"))
	g.Expect(reapplyAt).To(Equal(now.Add(2 * time.Second)))
	effective, _ = retention.Apply(now.Add(time.Second), endpoints("a", "b"), false)
	g.Expect(ids(effective)).To(ConsistOf("a", "b", "c"), "b is listed again, c is retained")
	effective, reapplyAt = retention.Apply(now.Add(2*time.Second), endpoints("a", "b"), false)
	g.Expect(ids(effective)).To(ConsistOf("a", "b"), "the grace period of c has ended")
	g.Expect(reapplyAt.IsZero()).To(BeTrue())
}

func TestSingleLapsedEndpointIsNotRetained(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	retention := fleet.EndpointRetention{GracePeriod: 2 * time.Second}
	retention.Apply(now, endpoints("a", "b", "c"), false)
	effective, reapplyAt := retention.Apply(now, endpoints("a", "b"), false)
	g.Expect(ids(effective)).To(ConsistOf("a", "b"))
	g.Expect(reapplyAt.IsZero()).To(BeTrue())
	leaving := endpoints("a", "b")
	leaving[0].State, leaving[1].State = fleet.Leaving, fleet.Leaving
	retention.Apply(now, leaving, false)
	effective, _ = retention.Apply(now, nil, false)
	g.Expect(effective).To(BeEmpty(), "leaving endpoints are not retained")
}

// TestEndpointsWithBadRecordsAreNotRetained checks that bad records don't count as lapsed, however
// many there are, and that an endpoint isn't retained any longer when it has a bad record.
func TestEndpointsWithBadRecordsAreNotRetained(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	badRecords := func(ids ...string) []fleet.BadRecord {
		var records []fleet.BadRecord
		for _, id := range ids {
			records = append(records, fleet.BadRecord{ID: id})
		}
		return records
	}
	retention := fleet.EndpointRetention{GracePeriod: 2 * time.Second}
	retention.Apply(now, endpoints("a", "b", "c", "d"), false)
	retention.Remove(badRecords("a", "b", "c"))
	effective, reapplyAt := retention.Apply(now, endpoints("d"), false)
	g.Expect(ids(effective)).To(ConsistOf("d"))
	g.Expect(reapplyAt.IsZero()).To(BeTrue())

	retention.Apply(now, endpoints("a", "b", "c", "d"), false)
	retention.Remove(badRecords("a"))
	effective, _ = retention.Apply(now, endpoints("b", "c"), false)
	g.Expect(ids(effective)).To(ConsistOf("b", "c"), "one of b, c and d disappeared, which is less than half")

	retention.Apply(now, endpoints("a", "b", "c", "d"), false)
	effective, _ = retention.Apply(now, endpoints("d"), false)
	g.Expect(ids(effective)).To(ConsistOf("a", "b", "c", "d"))
	retention.Remove(badRecords("b"))
	effective, _ = retention.Apply(now.Add(time.Second), endpoints("d"), false)
	g.Expect(ids(effective)).To(ConsistOf("a", "c", "d"))
	effective, _ = retention.Apply(now.Add(time.Second), endpoints("b", "d"), false)
	g.Expect(ids(effective)).To(ConsistOf("a", "b", "c", "d"), "the record of b is valid again")
}

// TestRegistryAcrossRestore checks that a list of a later era replaces all records, and that
// changes apply in their own era only.
func TestRegistryAcrossRestore(t *testing.T) {
	g := NewWithT(t)
	newID := func(era, number uint64) revision.ID {
		id, err := revision.New(era, number)
		g.Expect(err).NotTo(HaveOccurred())
		return id
	}
	recordWith := func(id string, revision uint64, content string) fleet.Record {
		return fleet.Record{ID: id, Revision: revision, Content: []byte(content)}
	}
	r := fleet.NewRegistry()
	g.Expect(r.Replace([]fleet.Record{recordWith("a", 5, "1"), recordWith("b", 7, "1")}, newID(1, 9))).To(BeTrue())
	g.Expect(r.Apply(newID(1, 10), []fleet.Record{recordWith("c", 10, "1")})).To(BeTrue())
	g.Expect(r.Apply(newID(2, 11), []fleet.Record{recordWith("d", 11, "1")})).To(BeFalse(), "no list of that era yet")
	g.Expect(r.Replace([]fleet.Record{recordWith("a", 5, "1"), recordWith("b", 7, "2")}, newID(2, 8))).To(BeTrue())
	g.Expect(r.Revision()).To(Equal(newID(2, 8)))
	g.Expect(r.Apply(newID(1, 11), []fleet.Record{recordWith("c", 11, "1")})).To(BeFalse(), "a response from before the restore")
	g.Expect(r.Replace([]fleet.Record{recordWith("a", 5, "1")}, newID(1, 99))).To(BeFalse(), "a list from before the restore")
	g.Expect(r.Adopt([]byte("[]"), newID(1, 99))).To(Succeed())
	g.Expect(r.Revision()).To(Equal(newID(2, 8)))
	g.Expect(r.Apply(newID(2, 9), []fleet.Record{recordWith("c", 9, "2")})).To(BeTrue(), "a reused revision number")
	data, err := r.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(`[{"id":"a","revision":5,"content":1},{"id":"b","revision":7,"content":2},{"id":"c","revision":9,"content":2}]`))
	decoded, err := fleet.DecodeRecords(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Replace(decoded, newID(3, 9))).To(BeTrue(), "needed so that later changes of this era apply")
	g.Expect(r.Revision()).To(Equal(newID(3, 9)))
}
