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

func rec(id string, revision uint64) fleet.Record {
	return fleet.Record{ID: id, Revision: revision, Content: []byte(fmt.Sprintf(`{"n":%d}`, revision))}
}

// TestRegistriesAgree: readers that list, watch or take a peer's registry at any
// point of the same history end with the same bytes at the same revision.
func TestRegistriesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []fleet.Record
		state := map[string]fleet.Record{}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			c := rec(fmt.Sprintf("e%d", rapid.IntRange(0, 4).Draw(t, "id")), uint64(i+1))
			c.Deleted = rapid.Bool().Draw(t, "deleted")
			history = append(history, c)
		}
		full := fleet.NewRegistry()
		full.Apply(0, history)
		from := rapid.IntRange(0, len(history)).Draw(t, "from")
		for _, c := range history[:from] {
			if c.Deleted {
				delete(state, c.ID)
			} else {
				state[c.ID] = c
			}
		}
		late := fleet.NewRegistry()
		if rapid.Bool().Draw(t, "from a peer") {
			peer := fleet.NewRegistry()
			peer.Apply(0, history[:from])
			data, err := peer.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if err := late.Adopt(data, peer.Revision()); err != nil {
				t.Fatal(err)
			}
		} else {
			var list []fleet.Record
			for _, c := range state {
				list = append(list, c)
			}
			late.Replace(list, revision.ID(from))
		}
		late.Apply(0, history)
		a, _ := full.Encode()
		b, _ := late.Encode()
		if string(a) != string(b) || full.Revision() != late.Revision() {
			t.Fatalf("%s at %d, %s at %d", a, full.Revision(), b, late.Revision())
		}
	})
}

func TestRegistryNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	r := fleet.NewRegistry()
	g.Expect(r.Apply(0, []fleet.Record{rec("a", 5), rec("b", 6)})).To(BeTrue())
	g.Expect(r.Apply(0, []fleet.Record{rec("a", 3)})).To(BeFalse())
	g.Expect(r.Replace([]fleet.Record{rec("a", 5)}, 4)).To(BeFalse(), "a list of a stale replica")
	g.Expect(r.Adopt([]byte("[]"), 2)).To(Succeed())
	g.Expect(r.Revision()).To(Equal(revision.ID(6)))
	g.Expect(r.Adopt([]byte("{"), 9)).NotTo(Succeed())
	g.Expect(r.Revision()).To(Equal(revision.ID(6)), "a registry that can't be read changes nothing")
}

func TestBadRecordsAreLeftOutAndReported(t *testing.T) {
	g := NewWithT(t)
	list, findings := fleet.FromRecords([]fleet.Record{rec("a", 1), rec("b", 2)}, func(id string, _ []byte) (fleet.Endpoint, error) {
		if id == "a" {
			return fleet.Endpoint{}, fmt.Errorf("bad")
		}
		return fleet.Endpoint{ID: id}, nil
	})
	g.Expect(findings).To(HaveLen(1))
	_, ok := list.Endpoint("b")
	g.Expect(ok).To(BeTrue())
	g.Expect(list.Endpoints).To(HaveLen(1))
}

func endpoints(ids ...string) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, id := range ids {
		out = append(out, fleet.Endpoint{ID: id, Targets: []string{"t"}, State: fleet.Live})
	}
	return out
}

func ids(in []fleet.Endpoint) []string {
	var out []string
	for _, e := range in {
		out = append(out, e.ID)
	}
	return out
}

func TestEndpointsThatVanishTogetherAreKeptForAWhile(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	grace := fleet.Grace{Hold: 2 * time.Second}
	grace.Apply(now, endpoints("a", "b", "c"), false)
	use, again := grace.Apply(now, endpoints("a"), false)
	g.Expect(ids(use)).To(ConsistOf("a", "b", "c"))
	g.Expect(again).To(Equal(now.Add(2 * time.Second)))
	use, _ = grace.Apply(now.Add(time.Second), endpoints("a", "b"), false)
	g.Expect(ids(use)).To(ConsistOf("a", "b", "c"), "one is back, one is still held")
	use, again = grace.Apply(now.Add(2*time.Second), endpoints("a", "b"), false)
	g.Expect(ids(use)).To(ConsistOf("a", "b"), "one that is still missing is gone")
	g.Expect(again.IsZero()).To(BeTrue())
}

func TestASingleEndpointThatVanishesIsGone(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	grace := fleet.Grace{Hold: 2 * time.Second}
	grace.Apply(now, endpoints("a", "b", "c"), false)
	use, again := grace.Apply(now, endpoints("a", "b"), false)
	g.Expect(ids(use)).To(ConsistOf("a", "b"))
	g.Expect(again.IsZero()).To(BeTrue())
	leaving := endpoints("a", "b")
	leaving[0].State, leaving[1].State = fleet.Leaving, fleet.Leaving
	grace.Apply(now, leaving, false)
	use, _ = grace.Apply(now, nil, false)
	g.Expect(use).To(BeEmpty(), "those that announced their leaving are not held")
}

// TestRecordsThatTurnBadAreNotHeld: their endpoints haven't lapsed, however many they are,
// and one that lapsed before is gone when its record comes back bad.
func TestRecordsThatTurnBadAreNotHeld(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	bad := func(ids ...string) []fleet.BadRecord {
		var out []fleet.BadRecord
		for _, id := range ids {
			out = append(out, fleet.BadRecord{ID: id})
		}
		return out
	}
	grace := fleet.Grace{Hold: 2 * time.Second}
	grace.Apply(now, endpoints("a", "b", "c", "d"), false)
	grace.Forget(bad("a", "b", "c"))
	use, again := grace.Apply(now, endpoints("d"), false)
	g.Expect(ids(use)).To(ConsistOf("d"))
	g.Expect(again.IsZero()).To(BeTrue())

	grace.Apply(now, endpoints("a", "b", "c", "d"), false)
	grace.Forget(bad("a"))
	use, _ = grace.Apply(now, endpoints("b", "c"), false)
	g.Expect(ids(use)).To(ConsistOf("b", "c"), "of b, c and d one vanished, which is no lapse")

	grace.Apply(now, endpoints("a", "b", "c", "d"), false)
	use, _ = grace.Apply(now, endpoints("d"), false)
	g.Expect(ids(use)).To(ConsistOf("a", "b", "c", "d"))
	grace.Forget(bad("b"))
	use, _ = grace.Apply(now.Add(time.Second), endpoints("d"), false)
	g.Expect(ids(use)).To(ConsistOf("a", "c", "d"))
	use, _ = grace.Apply(now.Add(time.Second), endpoints("b", "d"), false)
	g.Expect(ids(use)).To(ConsistOf("a", "b", "c", "d"), "good again")
}

// TestARegistryOverARestore: a list of a later era replaces whatever is known, and changes count
// in their era only.
func TestARegistryOverARestore(t *testing.T) {
	g := NewWithT(t)
	at := func(era, number uint64) revision.ID {
		id, err := revision.New(era, number)
		g.Expect(err).NotTo(HaveOccurred())
		return id
	}
	rec := func(id string, revision uint64, content string) fleet.Record {
		return fleet.Record{ID: id, Revision: revision, Content: []byte(content)}
	}
	r := fleet.NewRegistry()
	g.Expect(r.Replace([]fleet.Record{rec("a", 5, "1"), rec("b", 7, "1")}, at(1, 9))).To(BeTrue())
	g.Expect(r.Apply(at(1, 10), []fleet.Record{rec("c", 10, "1")})).To(BeTrue())
	g.Expect(r.Apply(at(2, 11), []fleet.Record{rec("d", 11, "1")})).To(BeFalse(), "no list of that era yet")
	g.Expect(r.Replace([]fleet.Record{rec("a", 5, "1"), rec("b", 7, "2")}, at(2, 8))).To(BeTrue())
	g.Expect(r.Revision()).To(Equal(at(2, 8)))
	g.Expect(r.Apply(at(1, 11), []fleet.Record{rec("c", 11, "1")})).To(BeFalse(), "an answer from before the restore")
	g.Expect(r.Replace([]fleet.Record{rec("a", 5, "1")}, at(1, 99))).To(BeFalse(), "a list from before the restore")
	g.Expect(r.Adopt([]byte("[]"), at(1, 99))).To(Succeed())
	g.Expect(r.Revision()).To(Equal(at(2, 8)))
	g.Expect(r.Apply(at(2, 9), []fleet.Record{rec("c", 9, "2")})).To(BeTrue(), "a revision that is given out again")
	data, err := r.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(`[{"id":"a","revision":5,"content":1},{"id":"b","revision":7,"content":2},{"id":"c","revision":9,"content":2}]`))
	same, err := fleet.DecodeRecords(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Replace(same, at(3, 9))).To(BeTrue(), "later changes are of this era")
	g.Expect(r.Revision()).To(Equal(at(3, 9)))
}
