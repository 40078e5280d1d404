package membudget_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/membudget"
)

func TestReadAllStopsAtItsBounds(t *testing.T) {
	const limit = 1 << 20
	for _, c := range []struct {
		name   string
		budget int64
		size   int
		err    error
	}{
		{"whole", 4 * limit, limit, nil},
		{"empty", 0, 0, nil},
		{"small without a budget", 0, membudget.FreeBytes / 4, nil},
		{"over its limit", 4 * limit, limit + 1, membudget.ErrTooLarge},
		{"over the budget", limit / 4, limit, membudget.ErrExhausted},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := membudget.New(c.budget)
			r := b.Reserve()
			src := bytes.NewReader(make([]byte, c.size))
			data, err := r.ReadAll(src, limit)
			if c.err == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(MatchError(c.err))
			}
			// Nothing is lost: what isn't in data is still to be read.
			g.Expect(len(data) + src.Len()).To(Equal(c.size))
			g.Expect(b.Used()).To(BeNumerically("<=", c.budget))
			r.Release()
			g.Expect(b.Used()).To(BeZero())
		})
	}
}

func TestOneReservationDoesNotTakeTheSmallPartOfOthers(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(1 << 20)
	large := b.Reserve()
	g.Expect(large.Resize(1<<20 + membudget.FreeBytes)).To(BeTrue())
	small := b.Reserve()
	g.Expect(small.Resize(membudget.FreeBytes)).To(BeTrue())
	g.Expect(small.Resize(membudget.FreeBytes + 1)).To(BeFalse())
	large.Release()
	g.Expect(small.Resize(membudget.FreeBytes + 1)).To(BeTrue())
}

func TestCountReader(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(1 << 10)
	_, err := io.ReadAll(b.Reserve().CountReader(strings.NewReader(strings.Repeat("a", 100)), 99))
	g.Expect(err).To(MatchError(membudget.ErrTooLarge))
	_, err = io.ReadAll(b.Reserve().CountReader(bytes.NewReader(make([]byte, 1<<20)), 1<<20))
	g.Expect(err).To(MatchError(membudget.ErrExhausted))
}

func TestRandomResizesNeverExceedTheBudget(t *testing.T) {
	g := NewWithT(t)
	const limit = 1 << 20
	r := rand.New(rand.NewPCG(1, 1))
	b := membudget.New(limit)
	var all []*membudget.Reservation
	for range 10_000 {
		if len(all) == 0 || r.IntN(4) == 0 {
			all = append(all, b.Reserve())
		}
		one := all[r.IntN(len(all))]
		if r.IntN(5) == 0 {
			one.Release()
		} else {
			one.Resize(r.Int64N(limit))
		}
		g.Expect(b.Used()).To(And(BeNumerically(">=", 0), BeNumerically("<=", limit)))
	}
	for _, one := range all {
		one.Release()
	}
	g.Expect(b.Used()).To(BeZero())
}
