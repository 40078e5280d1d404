package peering

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// HandOver gives the tickets of this entry to one successor. A peer that
// refuses because it stops has adopted nothing, so the next is asked; after any
// other failure nobody else may be asked.
func (c *Client) HandOver(ctx context.Context, export func(to []byte) *peerv1.HandoverRequest) error {
	tried := map[string]bool{}
	for {
		to, ok := c.successorBut(tried)
		if !ok {
			return errors.New("no entry is there to take the tickets over")
		}
		tried[to.VM] = true
		err := c.handOverTo(ctx, to.Contact, export(to.Record.GetIncarnation()))
		if connect.CodeOf(err) == connect.CodeFailedPrecondition {
			continue
		}
		return err
	}
}

func (c *Client) successorBut(tried map[string]bool) (m membership.Member, ok bool) {
	c.cfg.Beliefs.View(func(v *membership.View) {
		now := clock.Now()
		var to membership.Contact
		if to, ok = v.Successor(now, tried); ok {
			m, ok = v.Find(now, to.VM)
		}
	})
	return m, ok
}

func (c *Client) handOverTo(ctx context.Context, to membership.Contact, msg *peerv1.HandoverRequest) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, err := c.at(to.Address).Handover(ctx, authorize(c, msg))
	if err == nil || connect.CodeOf(err) != connect.CodeFailedPrecondition {
		c.mu.Lock()
		c.successor = to.Address
		c.mu.Unlock()
	}
	return err
}

// RunAt implements owner.Remote.
func (c *Client) Forward(ctx context.Context, t claims.Ticket, j *job.Job, sink job.Sink) *outcome.Error {
	address, err := c.locate(t)
	if err != nil {
		return err
	}
	f := &follower{sink: sink}
	for range maxReattach {
		if done, final := c.follow(ctx, address, j, f); done {
			j.OwnerAnswered = true
			return final
		}
		if ctx.Err() != nil || !f.reached {
			break
		}
	}
	return f.lost()
}

// locate finds the entry that holds the authority over a ticket.
func (c *Client) locate(t claims.Ticket) (address string, err *outcome.Error) {
	if s := c.handedTo(); s != "" && c.isSelf(t.OwnerVM) {
		return s, nil
	}
	c.cfg.Beliefs.View(func(v *membership.View) {
		address, err = claims.Route(t, Directory{v, clock.Now()}, c.allowed)
	})
	return address, err
}

// Directory is a membership view as package claims asks it.
type Directory struct {
	View *membership.View
	Now  time.Time
}

// Holder implements claims.Directory.
func (d Directory) Holder(i claims.Incarnation) (string, bool) {
	m, ok := d.View.Inheritor(d.Now, i[:])
	return m.Address, ok
}

// Peer implements claims.Directory.
func (d Directory) Peer(vm string) (claims.Peer, bool) {
	m, ok := d.View.Find(d.Now, vm)
	if !ok {
		return claims.Peer{}, false
	}
	return claims.Peer{
		Address:     m.Address,
		Incarnation: m.Record.GetIncarnation(),
		Alive:       m.Status == membership.Alive,
	}, true
}

func (c *Client) handedTo() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.successor
}

func (c *Client) isSelf(vm string) bool {
	same := false
	c.cfg.Beliefs.View(func(v *membership.View) { same = v.Self().GetVm() == vm })
	return same
}

func (c *Client) allowed(address string) bool {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(c.cfg.Networks, func(p netip.Prefix) bool { return p.Contains(a.Addr()) })
}

// follower copies an answer over several links. The owner sends the same bytes
// from the start each time, so those that were passed on are skipped.
type follower struct {
	sink    job.Sink
	reached bool
	header  bool
	passed  int
	seen    int
}

func (c *Client) follow(ctx context.Context, address string, j *job.Job, f *follower) (bool, *outcome.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(maxSilence, cancel)
	defer silence.Stop()
	stream, err := c.at(address).Run(ctx, authorize(c, runRequest(j.Ticket, j)))
	if err != nil {
		return false, nil
	}
	defer stream.Close()
	f.seen = 0
	for stream.Receive() {
		silence.Reset(maxSilence)
		f.reached = true
		msg := stream.Msg()
		if final := msg.GetFinal(); final != nil {
			return true, claims.ErrorOf(final)
		}
		if !f.take(msg) {
			return false, nil
		}
	}
	return false, nil
}

func (f *follower) take(msg *peerv1.RunResponse) bool {
	if msg.GetHeartbeat() != nil {
		return true
	}
	if h := msg.GetHeader(); h != nil {
		if !f.header {
			f.sink.Header(int(h.GetStatus()), h.GetContentType())
			f.header = true
		}
		return true
	}
	data := msg.GetData()
	f.seen += len(data)
	fresh := min(max(f.seen-f.passed, 0), len(data))
	if fresh == 0 {
		return true
	}
	f.passed += fresh
	if f.sink.Data(data[len(data)-fresh:]) != nil {
		return false
	}
	f.sink.Flush()
	return true
}

func (f *follower) lost() *outcome.Error {
	err := outcome.MayHaveRunf(outcome.CodeOwnerUnreachable, "the owner of the ticket can't be reached")
	if f.passed > 0 {
		err.Outcome = outcome.Incomplete
	}
	return err
}
