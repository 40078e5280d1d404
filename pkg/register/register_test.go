package register_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

func TestRegister(t *testing.T) {
	g := NewWithT(t)
	r := register.New(func(b []byte) (string, error) {
		if string(b) == "bad" {
			return "", errors.New("bad")
		}
		return string(b), nil
	})
	now := time.Unix(0, 0)
	for _, step := range []struct {
		revision revision.ID
		content  string
		verdict  register.Verdict
		inForce  string
	}{
		{3, "a", register.Adopted, "a"},
		{2, "old", register.Stale, "a"},
		{3, "a", register.Known, "a"},
		{3, "other", register.Conflict, "a"},
		{5, "bad", register.Rejected, "a"},
		{5, "bad", register.Known, "a"},
		{4, "between", register.Stale, "a"},
		{6, "a", register.Adopted, "a"},
		{0, "bad", register.Rejected, "a"},
		{0, "bad", register.Known, "a"},
		{0, "no revision", register.Rejected, "a"},
	} {
		v, _ := r.Offer(now, step.revision, []byte(step.content), register.FromPeer)
		g.Expect(v).To(Equal(step.verdict), "revision %d", step.revision)
		g.Expect(r.Current().Value).To(Equal(step.inForce))
	}
}

func newRevision(t *testing.T, era, number uint64) revision.ID {
	rev, err := revision.New(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

// TestRegisterAcrossRestore checks that a value that may come from the restored copy stays pending,
// and that a value that is certainly newer is adopted.
func TestRegisterAcrossRestore(t *testing.T) {
	g := NewWithT(t)
	const settlePeriod = 5 * time.Second
	r := register.NewSettling(func(b []byte) (string, error) { return string(b), nil }, settlePeriod)
	start := time.Unix(0, 0)
	for _, step := range []struct {
		elapsed     time.Duration
		era, number uint64
		content     string
		verdict     register.Verdict
		inForce     string
	}{
		{0, 1, 37, "v7", register.Adopted, "v7"},
		{0, 2, 33, "v4", register.Pending, "v7"},
		{4 * time.Second, 2, 33, "v4", register.Pending, "v7"},
		{4 * time.Second, 2, 32, "v3", register.Stale, "v7"},
		{4 * time.Second, 1, 36, "v6", register.Stale, "v7"},
		{4 * time.Second, 2, 35, "v8", register.Adopted, "v8"},
		{6 * time.Second, 2, 33, "v4", register.Stale, "v8"},
		{6 * time.Second, 2, 36, "v9", register.Adopted, "v9"},
		{7 * time.Second, 3, 34, "v7", register.Pending, "v9"},
		{8 * time.Second, 3, 35, "v9", register.Adopted, "v9"},
		{8 * time.Second, 3, 36, "v10", register.Adopted, "v10"},
		{9 * time.Second, 4, 99, "a copy of an earlier era", register.Pending, "v10"},
		{10 * time.Second, 5, 30, "v11, and no other follows", register.Pending, "v10"},
		{14 * time.Second, 5, 30, "v11, and no other follows", register.Pending, "v10"},
	} {
		v, _ := r.Offer(start.Add(step.elapsed), newRevision(t, step.era, step.number), []byte(step.content), register.FromStore)
		g.Expect(v).To(Equal(step.verdict), "%d.%d", step.era, step.number)
		g.Expect(r.Current().Value).To(Equal(step.inForce), "%d.%d", step.era, step.number)
	}
	_, certain := r.Settle(start.Add(15*time.Second - 1))
	g.Expect(certain).To(BeFalse())
	pending, certain := r.Settle(start.Add(15 * time.Second))
	g.Expect(pending).To(Equal(newRevision(t, 5, 30)))
	g.Expect(certain).To(BeTrue())
}

// TestPeerValueIsAdoptedOnlyIfCertain checks that a peer's value of a later era is adopted only if
// the peer is certain. Elapsed time isn't enough, since the peer may have been partitioned from
// the store since it read the restored copy.
func TestPeerValueIsAdoptedOnlyIfCertain(t *testing.T) {
	g := NewWithT(t)
	r := register.NewSettling(func(b []byte) (string, error) { return string(b), nil }, time.Second)
	now := time.Unix(0, 0)
	offer := func(number uint64, content string, source register.Source) register.Verdict {
		v, _ := r.Offer(now, newRevision(t, 2, number), []byte(content), source)
		return v
	}
	v, _ := r.Offer(now, newRevision(t, 1, 37), []byte("v7"), register.FromStore)
	g.Expect(v).To(Equal(register.Adopted))
	g.Expect(r.Certain()).To(BeFalse(), "the first value, in an era above zero")
	g.Expect(offer(33, "v4", register.FromPeer)).To(Equal(register.Pending))
	now = now.Add(time.Hour)
	_, certain := r.Settle(now)
	g.Expect(certain).To(BeFalse())
	g.Expect(offer(33, "v4", register.FromPeer)).To(Equal(register.Pending))
	g.Expect(offer(36, "v8", register.FromPeerCertain)).To(Equal(register.Adopted))
	g.Expect(r.Certain()).To(BeTrue())
	v, _ = r.Offer(now, newRevision(t, 3, 36), []byte("v8"), register.FromStore)
	g.Expect(v).To(Equal(register.Adopted), "the same content")
	g.Expect(r.Certain()).To(BeFalse())
	r.Settle(now.Add(time.Second))
	g.Expect(r.Certain()).To(BeTrue())
}

// TestRegistersConvergeAcrossRestores restores a store repeatedly from copies of any era.
// Publishers number their values, but the registers don't use these numbers. After a restore,
// publishers write their last value or a new one. Readers read at random times. No register
// reverts to an older value, and all end with the newest.
func TestRegistersConvergeAcrossRestores(t *testing.T) {
	const settlePeriod, maxRewriteDelay, steps = 5 * time.Second, 2 * time.Second, 400
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(0, 0)
		var store, backup struct{ number, value uint64 }
		var era, newest uint64
		var rewriteAt time.Time
		write := func() {
			store.number += 1 + random.Uint64N(3)
			store.value = newest
			rewriteAt = time.Time{}
		}
		readers := make([]*register.Register[uint64], 4)
		for i := range readers {
			readers[i] = register.NewSettling(func(b []byte) (uint64, error) { return strconv.ParseUint(string(b), 10, 64) }, settlePeriod)
		}
		read := func(r *register.Register[uint64]) {
			previous := uint64(0)
			if current := r.Current(); current != nil {
				previous = current.Value
			}
			rev, content := newRevision(t, era, store.number), fmt.Append(nil, store.value)
			_, _ = r.Offer(now, rev, content, register.FromStore)
			if pending, certain := r.Settle(now); certain && pending == rev {
				_, _ = r.Offer(now, rev, content, register.FromPeerCertain)
			}
			if after := r.Current().Value; after < previous {
				t.Fatalf("seed %d: reverted from %d to %d", seed, previous, after)
			}
		}
		newest = 1
		write()
		backup = store
		for range steps {
			now = now.Add(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
			if !rewriteAt.IsZero() && !now.Before(rewriteAt) {
				write()
			}
			switch random.IntN(12) {
			case 0:
				newest++
				write()
			case 1:
				backup = store
			case 2:
				if random.IntN(4) == 0 {
					store, era = backup, era+1
					rewriteAt = now.Add(time.Duration(random.Int64N(int64(maxRewriteDelay))))
				}
			default:
				read(readers[random.IntN(len(readers))])
			}
		}
		write()
		for _, r := range readers {
			read(r)
		}
		now = now.Add(settlePeriod)
		for i, r := range readers {
			read(r)
			if got := r.Current().Value; got != newest {
				t.Fatalf("seed %d: reader %d ends with %d of %d", seed, i, got, newest)
			}
		}
	}
}
