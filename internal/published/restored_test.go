package published_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// Times of the fleets of entries with our own interface.
const (
	ownSettle  = 5 * time.Second
	ownRewrite = 2 * time.Second
	ownStep    = 50 * time.Millisecond
	ownCut     = 8 * time.Second
)

// ownEntry is an entry with our own interface: its values, and what it has read of the store.
type ownEntry struct {
	store    *published.Store
	watcher  bool
	since    revision.ID
	cutUntil time.Time
	// inForce is the number of the table in force, which the publisher counts.
	inForce int
}

// ownFleet is a fleet of such entries whose store is restored again and again. The tables hold no
// version; their content is a number that only the test reads.
type ownFleet struct {
	t       *testing.T
	random  *rand.Rand
	seed    uint64
	now     time.Time
	entries []*ownEntry

	era, number uint64
	// stored is the table that the store holds, since revision at; newest the last published.
	stored, newest int
	at             uint64
	copies         []ownCopy
	rewriteAt      time.Time
	restores       int
}

type ownCopy struct {
	number, at uint64
	stored     int
}

func (f *ownFleet) start(e *ownEntry) {
	parse := func(content []byte) (*table.Table, error) {
		n, err := strconv.Atoi(string(content))
		if err == nil && n < e.inForce {
			f.t.Fatalf("seed %d, %v: an entry goes from table %d back to %d", f.seed, f.now, e.inForce, n)
		}
		e.inForce = n
		return nil, err
	}
	e.inForce, e.since = 0, 0
	e.store = published.New(published.Parsers{Table: parse, Settle: ownSettle}, func(published.Event) {}, func(*fleet.List, time.Time) {})
}

func (f *ownFleet) write() {
	f.number += 1 + f.random.Uint64N(3)
	f.at, f.stored = f.number, f.newest
	f.rewriteAt = time.Time{}
}

// read has an entry list the store if it is of another era than it knows, or watch it.
func (f *ownFleet) read(g *WithT, e *ownEntry) {
	now, err := revision.New(f.era, f.number)
	g.Expect(err).NotTo(HaveOccurred())
	if e.since.Era() != f.era || e.since == 0 || f.at > e.since.Number() {
		e.store.OfferRead(f.now, published.Value{Name: published.Table, Revision: now.WithNumber(f.at), Content: fmt.Append(nil, f.stored)}, "platform")
	}
	e.since = now
	e.store.Settle(f.now)
}

func (f *ownFleet) step(g *WithT, events bool) {
	f.now = f.now.Add(ownStep)
	if !f.rewriteAt.IsZero() && !f.now.Before(f.rewriteAt) {
		f.write()
	}
	f.copies = append(f.copies, ownCopy{f.number, f.at, f.stored})
	f.copies = f.copies[max(0, len(f.copies)-int(8*time.Second/ownStep)):]
	if events {
		f.happen()
	}
	for _, e := range f.entries {
		cut := f.now.Before(e.cutUntil)
		if !cut && (e.watcher && f.random.IntN(8) == 0 || f.random.IntN(400) == 0) {
			f.read(g, e)
		}
		if other := f.entries[f.random.IntN(len(f.entries))]; f.random.IntN(4) == 0 && f.now.Before(other.cutUntil) == cut {
			f.exchange(e, other)
		}
	}
}

func (f *ownFleet) happen() {
	chance := func(perSecond float64) bool { return f.random.Float64() < perSecond*ownStep.Seconds() }
	one := f.entries[f.random.IntN(len(f.entries))]
	switch {
	case chance(0.5):
		f.newest++
		f.write()
	case chance(0.2):
		c := f.copies[f.random.IntN(len(f.copies))]
		f.number, f.at, f.stored = c.number, c.at, c.stored
		f.era++
		f.restores++
		f.rewriteAt = f.now.Add(time.Duration(f.random.Int64N(int64(ownRewrite))))
	case chance(0.5):
		// Those that are cut off at the same time reach each other.
		one.cutUntil = f.now.Add(time.Duration(f.random.Int64N(int64(ownCut))))
	case chance(0.5):
		f.start(one)
	}
}

func (f *ownFleet) exchange(a, b *ownEntry) {
	for _, v := range b.store.Newer(a.store.Seen(), true) {
		a.store.Offer(f.now, v, "peer")
	}
	for _, v := range a.store.Newer(b.store.Seen(), true) {
		b.store.Offer(f.now, v, "peer")
	}
}

// TestOwnTablesOverRestores: entries of our own interface read tables that hold no version, tell
// each other, are cut off and start again, while the store is restored in series. No entry goes
// back to an older table, and all end with the newest.
func TestOwnTablesOverRestores(t *testing.T) {
	for _, size := range []struct{ entries, seeds int }{{3, 400}, {9, 200}, {66, 8}, {295, 2}} {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			g := NewWithT(t)
			restores := 0
			for seed := range uint64(size.seeds) {
				f := &ownFleet{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), newest: 1}
				f.write()
				for i := range size.entries {
					e := &ownEntry{watcher: i%max(size.entries/6, 1) == 0}
					f.start(e)
					f.entries = append(f.entries, e)
				}
				for range int(40 * time.Second / ownStep) {
					f.step(g, true)
				}
				f.newest++
				f.write()
				for range int(20 * time.Second / ownStep) {
					f.step(g, false)
				}
				for i, e := range f.entries {
					g.Expect(e.inForce).To(Equal(f.newest), "seed %d, entry %d", seed, i)
				}
				restores += f.restores
			}
			t.Logf("%d restores", restores)
		})
	}
}
