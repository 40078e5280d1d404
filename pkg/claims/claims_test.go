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

func ledger(vm string, incarnation byte, change ...func(*claims.Config)) *claims.Ledger {
	cfg := claims.Config{VM: vm, PeerAddress: "127.0.0.1:1", Incarnation: claims.Incarnation{incarnation}, Secret: []byte{incarnation}}
	for _, f := range change {
		f(&cfg)
	}
	return claims.New(start, cfg)
}

func mint(l *claims.Ledger, at time.Time) claims.Ticket {
	text, ok := l.Mint(at, "ws")
	Expect(ok).To(BeTrue())
	t, ok := claims.ParseTicket(text)
	Expect(ok).To(BeTrue())
	return t
}

var _ = Describe("a ticket", func() {
	digest := claims.DigestOf("request")

	It("runs once, attaches while it runs and replays afterwards", func() {
		l := ledger("a", 1)
		t := mint(l, start)
		d := l.Begin(start, t, "ws", digest)
		Expect(d.Action).To(Equal(claims.Run))
		Expect(l.Begin(start, t, "ws", digest).Action).To(Equal(claims.Attach))
		Expect(l.Dispatch(d.Key)).To(BeTrue())
		Expect(l.Dispatch(d.Key)).To(BeFalse(), "a second dispatch")
		l.Finish(start, d.Key, &claims.Answer{Body: []byte("whole")}, nil)
		again := l.Begin(start, t, "ws", digest)
		Expect(again.Action).To(Equal(claims.Replay))
		Expect(again.Answer.Body).To(BeEquivalentTo("whole"))
	})

	It("is burnt by a refusal, so that a late duplicate can't run it", func() {
		l := ledger("a", 1)
		t := mint(l, start)
		d := l.Begin(start, t, "ws", digest)
		l.Finish(start, d.Key, nil, outcome.NotRunf(outcome.CodeQueueFull, "full"))
		again := l.Begin(start.Add(time.Minute), t, "ws", digest)
		Expect(again.Action).To(Equal(claims.Replay))
		Expect(again.Err.Outcome).To(Equal(outcome.NotRun))
	})

	It("is refused as may have run when it is expired, forged, of another workspace, request or process", func() {
		l := ledger("a", 1)
		t := mint(l, start)
		Expect(l.Begin(start.Add(time.Hour), t, "ws", digest).Err.Code).To(Equal(outcome.CodeTicketExpired))
		Expect(l.Begin(start, t, "other", digest).Err.Code).To(Equal(outcome.CodeTicketInvalid))
		forged := t
		forged.Serial++
		Expect(l.Begin(start, forged, "ws", digest).Err.Code).To(Equal(outcome.CodeTicketInvalid))
		restarted := ledger("a", 2)
		Expect(restarted.Begin(start, t, "ws", digest).Err).To(Equal(claims.OwnerReplaced()))
		Expect(ledger("b", 3).Begin(start, t, "ws", digest).Action).To(Equal(claims.Forward))
		l.Begin(start, t, "ws", digest)
		conflict := l.Begin(start, t, "ws", claims.DigestOf("other request")).Err
		Expect(conflict.Code).To(Equal(outcome.CodeTicketConflict))
		Expect(conflict.Outcome).To(Equal(outcome.MayHaveRun))
	})

	It("leaves no way to more records than tickets within their validity", func() {
		l := ledger("a", 1, func(c *claims.Config) { c.MaxTickets = 10 })
		for range 10 {
			t := mint(l, start)
			d := l.Begin(start, t, "ws", digest)
			l.Finish(start, d.Key, nil, nil)
		}
		_, ok := l.Mint(start.Add(time.Minute), "ws")
		Expect(ok).To(BeFalse())
		later := start.Add(claims.DefaultValidity + 5*time.Second)
		mint(l, later)
		l.Expire(later)
		Expect(l.Records()).To(BeZero())
	})

	It("says that it ran when the answer is no longer kept", func() {
		l := ledger("a", 1, func(c *claims.Config) { c.MaxAnswerBytes = 10 })
		first := mint(l, start)
		for i := range 3 {
			t := first
			if i > 0 {
				t = mint(l, start)
			}
			d := l.Begin(start, t, "ws", digest)
			l.Finish(start, d.Key, &claims.Answer{Body: []byte("eight by")}, nil)
		}
		Expect(l.Begin(start, first, "ws", digest).Err.Code).To(Equal(outcome.CodeAnswerNotKept))
	})
})

var _ = Describe("a handover", func() {
	digest := claims.DigestOf("request")
	give := func(from *claims.Ledger, to byte) *peerv1.HandoverRequest {
		from.Freeze()
		i := claims.Incarnation{to}
		return from.Export(start, i[:])
	}

	It("moves unused and used tickets to the successor", func() {
		a, b := ledger("a", 1), ledger("b", 2)
		used, unused := mint(a, start), mint(a, start)
		d := a.Begin(start, used, "ws", digest)
		a.Finish(start, d.Key, &claims.Answer{Body: []byte("whole")}, nil)
		Expect(b.Adopt(start, give(a, 2))).To(Succeed())
		Expect(b.Begin(start, used, "ws", digest).Action).To(Equal(claims.Replay))
		Expect(b.Begin(start, unused, "ws", digest).Action).To(Equal(claims.Run))
		Expect(a.Begin(start, unused, "ws", digest).Action).To(Equal(claims.Forward))
		_, ok := a.Mint(start, "ws")
		Expect(ok).To(BeFalse())
	})

	It("is not given away while a run is open", func() {
		a := ledger("a", 1)
		a.Begin(start, mint(a, start), "ws", digest)
		Expect(give(a, 2)).To(BeNil())
	})

	It("is refused by the process that now runs on the successor's VM", func() {
		a := ledger("a", 1)
		mint(a, start)
		msg := give(a, 2)
		Expect(ledger("b", 2).Adopt(start, msg)).To(Succeed())
		Expect(ledger("b", 3).Adopt(start, msg)).To(MatchError(claims.ErrNotAddressed))
	})

	It("is not adopted again by a late duplicate, after its tickets have expired", func() {
		a, b := ledger("a", 1), ledger("b", 2)
		t := mint(a, start)
		msg := give(a, 2)
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

	It("is refused by an entry that is stopping itself", func() {
		a, b := ledger("a", 1), ledger("b", 2)
		b.Freeze()
		Expect(b.Adopt(start, give(a, 2))).To(MatchError(claims.ErrStopping))
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
	again := l.Begin(now, ticket, "notary-chamber", claims.DigestOf("the request"))
	fmt.Println(again.Action == claims.Replay, string(again.Answer.Body))
	// Output: true signed
}
