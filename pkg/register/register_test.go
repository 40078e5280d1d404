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
		v, _ := r.Offer(now, step.revision, []byte(step.content), register.Told)
		g.Expect(v).To(Equal(step.verdict), "revision %d", step.revision)
		g.Expect(r.Current().Value).To(Equal(step.inForce))
	}
}

func id(t *testing.T, era, number uint64) revision.ID {
	out, err := revision.New(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestARegisterOverARestore: what may be the copy's waits, what is certainly newer doesn't.
func TestARegisterOverARestore(t *testing.T) {
	g := NewWithT(t)
	const settle = 5 * time.Second
	r := register.NewSettling(func(b []byte) (string, error) { return string(b), nil }, settle)
	begin := time.Unix(0, 0)
	for _, step := range []struct {
		at          time.Duration
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
		v, _ := r.Offer(begin.Add(step.at), id(t, step.era, step.number), []byte(step.content), register.Read)
		g.Expect(v).To(Equal(step.verdict), "%d.%d", step.era, step.number)
		g.Expect(r.Current().Value).To(Equal(step.inForce), "%d.%d", step.era, step.number)
	}
	_, certain := r.Settle(begin.Add(15*time.Second - 1))
	g.Expect(certain).To(BeFalse())
	pending, certain := r.Settle(begin.Add(15 * time.Second))
	g.Expect(pending).To(Equal(id(t, 5, 30)))
	g.Expect(certain).To(BeTrue())
}

// TestWhatIsToldIsTakenIfTheTellerIsCertain: time alone doesn't make it so, since the teller may
// have been cut off since it read a restored store.
func TestWhatIsToldIsTakenIfTheTellerIsCertain(t *testing.T) {
	g := NewWithT(t)
	r := register.NewSettling(func(b []byte) (string, error) { return string(b), nil }, time.Second)
	now := time.Unix(0, 0)
	offer := func(number uint64, content string, from register.Evidence) register.Verdict {
		v, _ := r.Offer(now, id(t, 2, number), []byte(content), from)
		return v
	}
	v, _ := r.Offer(now, id(t, 1, 37), []byte("v7"), register.Read)
	g.Expect(v).To(Equal(register.Adopted))
	g.Expect(r.Certain()).To(BeFalse(), "the first one that it has heard of, in an era above zero")
	g.Expect(offer(33, "v4", register.Told)).To(Equal(register.Pending))
	now = now.Add(time.Hour)
	_, certain := r.Settle(now)
	g.Expect(certain).To(BeFalse())
	g.Expect(offer(33, "v4", register.Told)).To(Equal(register.Pending))
	g.Expect(offer(36, "v8", register.ToldCertain)).To(Equal(register.Adopted))
	g.Expect(r.Certain()).To(BeTrue())
	v, _ = r.Offer(now, id(t, 3, 36), []byte("v8"), register.Read)
	g.Expect(v).To(Equal(register.Adopted), "the same content")
	g.Expect(r.Certain()).To(BeFalse())
	r.Settle(now.Add(time.Second))
	g.Expect(r.Certain()).To(BeTrue())
}

// TestRegistersFollowRestoredStores: publishers number their values, the store doesn't know
// that. It is restored again and again from copies of any era, and publishers write again what
// they wrote last, or something new. Readers look at random times. None goes back, and all end
// with the newest.
func TestRegistersFollowRestoredStores(t *testing.T) {
	const settle, rewrite, steps = 5 * time.Second, 2 * time.Second, 400
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(0, 0)
		var store, copied struct{ number, value uint64 }
		var era, newest uint64
		var rewriteAt time.Time
		write := func() {
			store.number += 1 + random.Uint64N(3)
			store.value = newest
			rewriteAt = time.Time{}
		}
		readers := make([]*register.Register[uint64], 4)
		for i := range readers {
			readers[i] = register.NewSettling(func(b []byte) (uint64, error) { return strconv.ParseUint(string(b), 10, 64) }, settle)
		}
		read := func(r *register.Register[uint64]) {
			before := uint64(0)
			if held := r.Current(); held != nil {
				before = held.Value
			}
			at, content := id(t, era, store.number), fmt.Append(nil, store.value)
			_, _ = r.Offer(now, at, content, register.Read)
			if pending, certain := r.Settle(now); certain && pending == at {
				_, _ = r.Offer(now, at, content, register.ToldCertain)
			}
			if after := r.Current().Value; after < before {
				t.Fatalf("seed %d: from %d back to %d", seed, before, after)
			}
		}
		newest = 1
		write()
		copied = store
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
				copied = store
			case 2:
				if random.IntN(4) == 0 {
					store, era = copied, era+1
					rewriteAt = now.Add(time.Duration(random.Int64N(int64(rewrite))))
				}
			default:
				read(readers[random.IntN(len(readers))])
			}
		}
		write()
		for _, r := range readers {
			read(r)
		}
		now = now.Add(settle)
		for i, r := range readers {
			read(r)
			if got := r.Current().Value; got != newest {
				t.Fatalf("seed %d: reader %d ends with %d of %d", seed, i, got, newest)
			}
		}
	}
}
