package claims_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newLedger(vm string, incarnation byte, options ...func(*claims.Config)) *claims.Ledger {
	cfg := claims.Config{VM: vm, PeerAddress: "127.0.0.1:1", Incarnation: claims.Incarnation{incarnation}, Secret: []byte{incarnation}}
	for _, option := range options {
		option(&cfg)
	}
	return claims.New(start, cfg)
}

func mintTicket(l *claims.Ledger, now time.Time) claims.Ticket {
	text, ok := l.Mint(now, "ws")
	Expect(ok).To(BeTrue())
	t, ok := claims.ParseTicket(text)
	Expect(ok).To(BeTrue())
	return t
}

var _ = Describe("a ticket", func() {
	digest := claims.DigestOf("request")

	It("runs once, attaches while it runs and replays afterwards", func() {
		l := newLedger("a", 1)
		t := mintTicket(l, start)
		d := l.Begin(start, t, "ws", digest)
		Expect(d.Action).To(Equal(claims.Run))
		Expect(l.Begin(start, t, "ws", digest).Action).To(Equal(claims.Attach))
		Expect(l.Dispatch(d.Key)).To(BeTrue())
		Expect(l.Dispatch(d.Key)).To(BeFalse(), "a second dispatch")
		l.Finish(start, d.Key, &claims.Answer{Body: []byte("whole")}, nil)
		repeated := l.Begin(start, t, "ws", digest)
		Expect(repeated.Action).To(Equal(claims.Replay))
		Expect(repeated.Answer.Body).To(BeEquivalentTo("whole"))
	})

	It("is consumed by a refusal, so that a delayed duplicate can't run it", func() {
		l := newLedger("a", 1)
		t := mintTicket(l, start)
		d := l.Begin(start, t, "ws", digest)
		l.Finish(start, d.Key, nil, outcome.NotRunf(outcome.CodeQueueFull, "full"))
		repeated := l.Begin(start.Add(time.Minute), t, "ws", digest)
		Expect(repeated.Action).To(Equal(claims.Replay))
		Expect(repeated.Err.Outcome).To(Equal(outcome.NotRun))
	})

	It("is refused as MayHaveRun if expired, forged or of another workspace, request or process", func() {
		l := newLedger("a", 1)
		t := mintTicket(l, start)
		Expect(l.Begin(start.Add(time.Hour), t, "ws", digest).Err.Code).To(Equal(outcome.CodeTicketExpired))
		Expect(l.Begin(start, t, "other", digest).Err.Code).To(Equal(outcome.CodeTicketInvalid))
		forged := t
		forged.Serial++
		Expect(l.Begin(start, forged, "ws", digest).Err.Code).To(Equal(outcome.CodeTicketInvalid))
		restarted := newLedger("a", 2)
		Expect(restarted.Begin(start, t, "ws", digest).Err).To(Equal(claims.OwnerReplacedError()))
		Expect(newLedger("b", 3).Begin(start, t, "ws", digest).Action).To(Equal(claims.Forward))
		l.Begin(start, t, "ws", digest)
		conflict := l.Begin(start, t, "ws", claims.DigestOf("other request")).Err
		Expect(conflict.Code).To(Equal(outcome.CodeTicketConflict))
		Expect(conflict.Outcome).To(Equal(outcome.MayHaveRun))
	})

	It("limits the records to the tickets within their validity", func() {
		l := newLedger("a", 1, func(c *claims.Config) { c.MaxTickets = 10 })
		for range 10 {
			t := mintTicket(l, start)
			d := l.Begin(start, t, "ws", digest)
			l.Finish(start, d.Key, nil, nil)
		}
		_, ok := l.Mint(start.Add(time.Minute), "ws")
		Expect(ok).To(BeFalse())
		later := start.Add(claims.DefaultValidity + 5*time.Second)
		mintTicket(l, later)
		l.Expire(later)
		Expect(l.CountRecords()).To(BeZero())
	})

	It("reports that the request ran when the answer is no longer stored", func() {
		l := newLedger("a", 1, func(c *claims.Config) { c.MaxAnswerBytes = 10 })
		first := mintTicket(l, start)
		for i := range 3 {
			t := first
			if i > 0 {
				t = mintTicket(l, start)
			}
			d := l.Begin(start, t, "ws", digest)
			l.Finish(start, d.Key, &claims.Answer{Body: []byte("eight by")}, nil)
		}
		Expect(l.Begin(start, first, "ws", digest).Err.Code).To(Equal(outcome.CodeAnswerNotKept))
	})
})

var _ = Describe("a handover", func() {
	digest := claims.DigestOf("request")
	exportTo := func(from *claims.Ledger, incarnation byte) *peerv1.HandoverRequest {
		from.Freeze()
		successor := claims.Incarnation{incarnation}
		return from.Export(start, successor[:])
	}

	It("moves unused and used tickets to the successor", func() {
		a, b := newLedger("a", 1), newLedger("b", 2)
		used, unused := mintTicket(a, start), mintTicket(a, start)
		d := a.Begin(start, used, "ws", digest)
		a.Finish(start, d.Key, &claims.Answer{Body: []byte("whole")}, nil)
		Expect(b.Adopt(start, exportTo(a, 2))).To(Succeed())
		Expect(b.Begin(start, used, "ws", digest).Action).To(Equal(claims.Replay))
		Expect(b.Begin(start, unused, "ws", digest).Action).To(Equal(claims.Run))
		Expect(a.Begin(start, unused, "ws", digest).Action).To(Equal(claims.Forward))
		_, ok := a.Mint(start, "ws")
		Expect(ok).To(BeFalse())
	})

	It("is not exported while a request is running", func() {
		a := newLedger("a", 1)
		a.Begin(start, mintTicket(a, start), "ws", digest)
		Expect(exportTo(a, 2)).To(BeNil())
	})

	It("is refused by a later process on the successor's VM", func() {
		a := newLedger("a", 1)
		mintTicket(a, start)
		msg := exportTo(a, 2)
		Expect(newLedger("b", 2).Adopt(start, msg)).To(Succeed())
		Expect(newLedger("b", 3).Adopt(start, msg)).To(MatchError(claims.ErrNotAddressed))
	})

	It("is not adopted again from a delayed duplicate after its tickets have expired", func() {
		a, b := newLedger("a", 1), newLedger("b", 2)
		t := mintTicket(a, start)
		msg := exportTo(a, 2)
		Expect(b.Adopt(start, msg)).To(Succeed())
		d := b.Begin(start, t, "ws", digest)
		Expect(d.Action).To(Equal(claims.Run))
		b.Finish(start, d.Key, nil, nil)
		late := start.Add(time.Hour)
		b.Expire(late)
		b.Expire(late)
		Expect(b.Adopt(late, msg)).To(Succeed())
		Expect(b.Begin(late, t, "ws", digest).Action).NotTo(Equal(claims.Run))
	})

	It("is refused by an entry that is stopping", func() {
		a, b := newLedger("a", 1), newLedger("b", 2)
		b.Freeze()
		Expect(b.Adopt(start, exportTo(a, 2))).To(MatchError(claims.ErrStopping))
	})
})

func ExampleLedger() {
	now := time.Now()
	l := claims.New(now, claims.Config{VM: "entry-1", PeerAddress: "10.0.0.1:7000", Incarnation: claims.Incarnation{7}, Secret: []byte("random")})
	text, _ := l.Mint(now, "notary-chamber")
	ticket, _ := claims.ParseTicket(text)
	d := l.Begin(now, ticket, "notary-chamber", claims.DigestOf("the request"))
	if d.Action == claims.Run && l.Dispatch(d.Key) {
		l.Finish(now, d.Key, &claims.Answer{Body: []byte("signed")}, nil)
	}
	repeated := l.Begin(now, ticket, "notary-chamber", claims.DigestOf("the request"))
	fmt.Println(repeated.Action == claims.Replay, string(repeated.Answer.Body))
	// Output: true signed
}
