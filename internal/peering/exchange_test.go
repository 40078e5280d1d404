package peering

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// largeHall is the size of a data centre with many entries.
const largeHall = 59

// peer is one entry's part of the exchange.
type peer struct {
	beliefs *Beliefs
	store   *published.Store
	client  *Client
	address string
	// asked and answered list the content encodings of its messages and of the answers.
	asked, answered []string
}

// RoundTrip records how a message and its answer were encoded.
func (p *peer) RoundTrip(r *http.Request) (*http.Response, error) {
	p.asked = append(p.asked, r.Header.Get("Content-Encoding"))
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		p.answered = append(p.answered, resp.Header.Get("Content-Encoding"))
	}
	return resp, err
}

// anyLoad is longer than an exchange takes on a busy machine: these tests are of what is
// said, not how fast.
const anyLoad = 30 * time.Second

// newPeer makes an entry that knows the others of a large data centre.
func newPeer(tb testing.TB, vm string) *peer {
	p := &peer{
		beliefs: beliefsOf(vm, "hall"),
		store:   published.New(published.Parsers{Table: anyTable}, func(published.Event) {}, nil),
	}
	var others []*peerv1.NodeRecord
	for i := range largeHall {
		others = append(others, &peerv1.NodeRecord{Vm: fmt.Sprintf("entry-%d", i), DataCenter: "hall", Version: 1, Incarnation: []byte{byte(i)}})
	}
	p.beliefs.Merge(time.Now(), others)
	traffic := &Traffic{}
	server := httptest.NewServer(NewServer(p.beliefs, p.store, nil, nil, traffic).Handler(""))
	tb.Cleanup(server.Close)
	p.address = server.Listener.Addr().String()
	p.client = NewClient(Config{Beliefs: p.beliefs, Store: p.store, HTTP: &http.Client{Transport: p}, Scheme: "http", Traffic: traffic, Timeout: anyLoad})
	return p
}

func (p *peer) contact(vm string) membership.Contact {
	return membership.Contact{VM: vm, DataCenter: "hall", Address: p.address}
}

func anyTable([]byte) (*table.Table, error) { return &table.Table{}, nil }

// meet lets one entry exchange with another.
func (p *peer) meet(g *WithT, other *peer) {
	p.asked, p.answered = nil, nil
	g.Expect(p.client.Reconcile(context.Background(), []membership.Contact{other.contact("other")})).To(Equal(1))
}

// TestAnswersBetweenEntriesAreNotCompressed: a compressor costs an entry more than what
// it saves on the link, see BenchmarkExchange.
func TestAnswersBetweenEntriesAreNotCompressed(t *testing.T) {
	g := NewWithT(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	a.meet(g, b)
	g.Expect(a.answered).NotTo(BeEmpty())
	g.Expect(append(a.asked, a.answered...)).To(HaveEach(BeEmpty()))
}

// TestLargeTablesAreCompressed: in an answer, and when a peer asks for them; uncompressed
// they don't get through the smallest links while several fetch them.
func TestLargeTablesAreCompressed(t *testing.T) {
	g := NewWithT(t)
	large := published.Value{Name: published.Table, Revision: 1, Content: bytes.Repeat([]byte("a route and its settings,"), 16<<10)}
	for _, holds := range []string{"asked", "asking"} {
		a, b := newPeer(t, "a"), newPeer(t, "b")
		if holds == "asked" {
			b.store.Offer(time.Now(), large, "test")
		} else {
			a.store.Offer(time.Now(), large, "test")
		}
		a.meet(g, b)
		g.Expect(append(a.asked, a.answered...)).To(ContainElement("gzip"), holds)
		for _, p := range []*peer{a, b} {
			got, _ := p.store.Get(published.Table)
			g.Expect(got.Content).To(Equal(large.Content), holds)
		}
	}
}

// BenchmarkExchange is one exchange of two entries that know 59 others, both ends in
// one process: 303 to 329 us and 77 KB with compressed answers, 162 to 184 us and 23 KB
// without.
func BenchmarkExchange(b *testing.B) {
	from, to := newPeer(b, "a"), newPeer(b, "b")
	contacts := []membership.Contact{to.contact("b")}
	b.ReportAllocs()
	for b.Loop() {
		from.asked, from.answered = nil, nil
		from.client.Reconcile(context.Background(), contacts)
	}
}

// TestFactsOfRequestsOutliveWhoSawThem: what one entry saw reaches another over a third, and
// an entry that starts later, when the first is gone. Each end counts once, however often it
// is told, and a whole run clears for all.
func TestFactsOfRequestsOutliveWhoSawThem(t *testing.T) {
	g := NewWithT(t)
	saw, between, late := newPeer(t, "saw"), newPeer(t, "between"), newPeer(t, "late")
	crash := func() quarantine.Identity { return quarantine.IdentityOf("w", "h", "/crash", nil) }
	for life := range uint64(quarantine.ContainmentThreshold) {
		saw.beliefs.Guard().Add(quarantine.Fact{Identity: crash(), EventID: life, OccurredAt: time.Now()})
	}
	saw.meet(g, between)
	for range 3 {
		between.meet(g, late)
	}
	late.meet(g, between)
	for _, p := range []*peer{saw, between, late} {
		g.Expect(p.beliefs.Guard().Counts()).To(Equal(map[quarantine.Status]int{quarantine.Contained: 1}))
		g.Expect(p.beliefs.Guard().Check(crash)).To(HaveField("Outcome", outcome.NotRun))
	}
	late.beliefs.Guard().RecordCompletion(crash)
	saw.meet(g, late)
	between.meet(g, saw)
	for _, p := range []*peer{saw, between, late} {
		g.Expect(p.beliefs.Guard().Check(crash)).To(BeNil())
	}
}

// TestBadFactsOfRequests: what an entry of another version or a broken one tells does no
// harm.
func TestBadFactsOfRequests(t *testing.T) {
	g := NewWithT(t)
	facts := []*peerv1.RequestFact{nil, {}, {Identity: []byte("short"), Mark: 1}, {Identity: make([]byte, 64)}}
	g.Expect(factsIn(time.Now(), facts)).To(BeEmpty())
	many := make([]*peerv1.RequestFact, 10*quarantine.MaxFacts)
	for i := range many {
		many[i] = &peerv1.RequestFact{Identity: make([]byte, 16), Mark: uint64(i), AgeMs: math.MaxUint32}
	}
	p := newPeer(t, "a")
	p.beliefs.Guard().Add(factsIn(time.Now(), many)...)
	g.Expect(p.beliefs.Guard().Keys()).To(BeEmpty(), "too old")
}

// FuzzRequestFacts: whatever a peer tells of requests, what is kept of it is bounded, and it
// can be told on.
func FuzzRequestFacts(f *testing.F) {
	id := quarantine.IdentityOf("w", "h", "/x", nil)
	good, _ := proto.Marshal(&peerv1.ExchangeResponse{RequestFacts: []*peerv1.RequestFact{{Identity: id[:], Mark: 7, AgeMs: 3}, {Identity: id[:], Whole: true}}})
	f.Add(good)
	f.Add([]byte{0x32, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg peerv1.ExchangeResponse
		if proto.Unmarshal(data, &msg) != nil {
			return
		}
		now := time.Now()
		set := quarantine.New()
		set.Add(now, factsIn(now, msg.GetRequestFacts())...)
		_, _ = set.Compare(keysIn(msg.GetWantedRequestFacts()))
		keys := set.Keys()
		if len(keys) > quarantine.MaxFacts {
			t.Fatalf("%d facts are kept", len(keys))
		}
		again := quarantine.New()
		again.Add(now, factsIn(now, factsOut(now, set.Facts(keys)))...)
		if len(again.Keys()) != len(keys) {
			t.Fatalf("%d facts are told, %d taken", len(keys), len(again.Keys()))
		}
	})
}
