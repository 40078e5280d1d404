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

// Times of the simulated fleets.
const (
	settlePeriod    = 5 * time.Second
	maxRewriteDelay = 2 * time.Second
	stepInterval    = 50 * time.Millisecond
	maxCutOff       = 8 * time.Second
)

// nativeEntry is an entry that uses the system's own interface to the platform: its values, and
// the revision of the store that it read last.
type nativeEntry struct {
	store       *published.Store
	watcher     bool
	lastRead    revision.ID
	cutOffUntil time.Time
	// tableInForce is the number of the table in force; the publisher numbers its tables.
	tableInForce int
}

// nativeFleet simulates a fleet of such entries whose store is restored repeatedly. The tables
// contain no version: their content is a number that only the test interprets.
type nativeFleet struct {
	t       *testing.T
	random  *rand.Rand
	seed    uint64
	now     time.Time
	entries []*nativeEntry

	era, revisionNumber uint64
	// storedTable is the table in the store, written at tableRevision; newestTable is the last
	// one published.
	storedTable, newestTable int
	tableRevision            uint64
	snapshots                []storeSnapshot
	rewriteAt                time.Time
	restores                 int
}

type storeSnapshot struct {
	revisionNumber, tableRevision uint64
	table                         int
}

func (f *nativeFleet) restart(e *nativeEntry) {
	parse := func(content []byte) (*table.Table, error) {
		n, err := strconv.Atoi(string(content))
		if err == nil && n < e.tableInForce {
			f.t.Fatalf("seed %d, %v: an entry went back from table %d to %d", f.seed, f.now, e.tableInForce, n)
		}
		e.tableInForce = n
		return nil, err
	}
	e.tableInForce, e.lastRead = 0, 0
	e.store = published.New(published.Config{ParseTable: parse, SettlePeriod: settlePeriod}, func(published.Event) {}, func(*fleet.List, time.Time) {})
}

func (f *nativeFleet) writeTable() {
	f.revisionNumber += 1 + f.random.Uint64N(3)
	f.tableRevision, f.storedTable = f.revisionNumber, f.newestTable
	f.rewriteAt = time.Time{}
}

// readStore offers the entry the stored table if the store is of another era or has a newer table
// than the entry read last.
func (f *nativeFleet) readStore(g *WithT, e *nativeEntry) {
	rev, err := revision.New(f.era, f.revisionNumber)
	g.Expect(err).NotTo(HaveOccurred())
	if e.lastRead.Era() != f.era || e.lastRead == 0 || f.tableRevision > e.lastRead.Number() {
		e.store.OfferFromStore(f.now, published.Value{Name: published.Table, Revision: rev.WithNumber(f.tableRevision), Content: fmt.Append(nil, f.storedTable)}, "platform")
	}
	e.lastRead = rev
	e.store.Settle(f.now)
}

func (f *nativeFleet) step(g *WithT, events bool) {
	f.now = f.now.Add(stepInterval)
	if !f.rewriteAt.IsZero() && !f.now.Before(f.rewriteAt) {
		f.writeTable()
	}
	f.snapshots = append(f.snapshots, storeSnapshot{f.revisionNumber, f.tableRevision, f.storedTable})
	f.snapshots = f.snapshots[max(0, len(f.snapshots)-int(8*time.Second/stepInterval)):]
	if events {
		f.injectEvent()
	}
	for _, e := range f.entries {
		cutOff := f.now.Before(e.cutOffUntil)
		if !cutOff && (e.watcher && f.random.IntN(8) == 0 || f.random.IntN(400) == 0) {
			f.readStore(g, e)
		}
		if peer := f.entries[f.random.IntN(len(f.entries))]; f.random.IntN(4) == 0 && f.now.Before(peer.cutOffUntil) == cutOff {
			f.exchange(e, peer)
		}
	}
}

func (f *nativeFleet) injectEvent() {
	chance := func(perSecond float64) bool { return f.random.Float64() < perSecond*stepInterval.Seconds() }
	entry := f.entries[f.random.IntN(len(f.entries))]
	switch {
	case chance(0.5):
		f.newestTable++
		f.writeTable()
	case chance(0.2):
		snapshot := f.snapshots[f.random.IntN(len(f.snapshots))]
		f.revisionNumber, f.tableRevision, f.storedTable = snapshot.revisionNumber, snapshot.tableRevision, snapshot.table
		f.era++
		f.restores++
		f.rewriteAt = f.now.Add(time.Duration(f.random.Int64N(int64(maxRewriteDelay))))
	case chance(0.5):
		// Entries that are cut off at the same time can reach each other.
		entry.cutOffUntil = f.now.Add(time.Duration(f.random.Int64N(int64(maxCutOff))))
	case chance(0.5):
		f.restart(entry)
	}
}

func (f *nativeFleet) exchange(a, b *nativeEntry) {
	for _, v := range b.store.NewerThan(a.store.SeenRevisions(), true) {
		a.store.OfferFromPeer(f.now, v, "peer")
	}
	for _, v := range a.store.NewerThan(b.store.SeenRevisions(), true) {
		b.store.OfferFromPeer(f.now, v, "peer")
	}
}

// TestNativeTablesNeverRegressAcrossRestores checks that no entry goes back to an older table and
// that all end with the newest one, while entries read tables that contain no version, exchange
// them, are cut off and restart, and the store is restored repeatedly.
func TestNativeTablesNeverRegressAcrossRestores(t *testing.T) {
	for _, size := range []struct{ entries, seeds int }{{3, 400}, {9, 200}, {66, 8}, {295, 2}} {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			g := NewWithT(t)
			restores := 0
			for seed := range uint64(size.seeds) {
				f := &nativeFleet{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), newestTable: 1}
				f.writeTable()
				for i := range size.entries {
					e := &nativeEntry{watcher: i%max(size.entries/6, 1) == 0}
					f.restart(e)
					f.entries = append(f.entries, e)
				}
				for range int(40 * time.Second / stepInterval) {
					f.step(g, true)
				}
				f.newestTable++
				f.writeTable()
				for range int(20 * time.Second / stepInterval) {
					f.step(g, false)
				}
				for i, e := range f.entries {
					g.Expect(e.tableInForce).To(Equal(f.newestTable), "seed %d, entry %d", seed, i)
				}
				restores += f.restores
			}
			t.Logf("%d restores", restores)
		})
	}
}
