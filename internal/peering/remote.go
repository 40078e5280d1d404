package peering

import (
	"context"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// HandOver hands the tickets of this entry over to one successor. A peer that refuses with
// FailedPrecondition because it is stopping has adopted nothing, so the next one is tried. After
// any other failure the peer may have adopted the tickets, so no other peer may be tried.
func (c *Client) HandOver(ctx context.Context, export func(to []byte) *peerv1.HandoverRequest) error {
	tried := map[string]bool{}
	for {
		to, ok := c.nextSuccessor(tried)
		if !ok {
			return errors.New("no entry is available to take over the tickets")
		}
		tried[to.VM] = true
		err := c.handOverTo(ctx, to.Contact, export(to.Record.GetIncarnation()))
		if connect.CodeOf(err) == connect.CodeFailedPrecondition {
			continue
		}
		return err
	}
}

func (c *Client) nextSuccessor(tried map[string]bool) (m membership.Member, ok bool) {
	c.cfg.ClusterState.WithView(func(v *membership.View) {
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
	// The call can't be repeated, and the peer may close a kept connection at any time.
	c.cfg.HTTP.CloseIdleConnections()
	_, err := c.clientFor(to.Address).Handover(ctx, authorize(c, msg))
	if err == nil || connect.CodeOf(err) != connect.CodeFailedPrecondition {
		c.mu.Lock()
		c.successor = to.Address
		c.mu.Unlock()
	}
	return err
}

// Forward implements owner.Remote. If a stream to the owner breaks, it attaches again as long as
// the owner has answered, or if the connection had been kept, which the peer may close at any time; at most
// maxAttachments times in all. A ticket runs once however often it is attached to.
func (c *Client) Forward(ctx context.Context, t claims.Ticket, j *job.Job, sink job.Sink) *outcome.Error {
	address, err := c.ownerAddress(t)
	if err != nil {
		return err
	}
	relay := &responseRelay{sink: sink, mayBegin: func() bool { return shutdown.BeginResponse(ctx) }}
	for range maxAttachments {
		if done, final := c.attach(ctx, address, j, relay); done {
			j.OwnerAnswered = true
			return final
		}
		if ctx.Err() != nil || !relay.connected && !relay.reused.Load() {
			break
		}
		if !relay.connected {
			c.cfg.HTTP.CloseIdleConnections()
		}
	}
	return relay.unreachableError()
}

// ownerAddress returns the address of the entry that has the authority over a ticket.
func (c *Client) ownerAddress(t claims.Ticket) (address string, err *outcome.Error) {
	if s := c.successorAddress(); s != "" && c.isSelf(t.OwnerVM) {
		return s, nil
	}
	c.cfg.ClusterState.WithView(func(v *membership.View) {
		address, err = claims.ResolveOwner(t, Directory{v, clock.Now()}, c.isAllowedAddress)
	})
	return address, err
}

// Directory adapts a membership view to claims.Directory.
type Directory struct {
	View *membership.View
	Now  time.Time
}

// InheritorAddress implements claims.Directory.
func (d Directory) InheritorAddress(i claims.Incarnation) (string, bool) {
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

func (c *Client) successorAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.successor
}

func (c *Client) isSelf(vm string) bool {
	same := false
	c.cfg.ClusterState.WithView(func(v *membership.View) { same = v.Self().GetVm() == vm })
	return same
}

func (c *Client) isAllowedAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(c.cfg.Networks, func(p netip.Prefix) bool { return p.Contains(a.Addr()) })
}

// responseRelay copies one response from several consecutive streams to a sink. The owner sends the
// same bytes from the start on each stream, so those already forwarded are skipped.
type responseRelay struct {
	sink job.Sink
	// mayBegin reports whether the response may begin.
	mayBegin func() bool
	// connected reports whether the owner has sent any message.
	connected bool
	// reused reports whether the last stream was opened on a connection that had been used before.
	reused     atomic.Bool
	headerSent bool
	// forwarded is the number of body bytes passed to the sink, received that of the body bytes
	// received on the current stream.
	forwarded int
	received  int
}

// attach opens a stream to the owner and relays the response. It reports whether the final outcome
// arrived, and the error in it, which is nil on success. A stream without any message for
// heartbeatTimeout is closed.
func (c *Client) attach(ctx context.Context, address string, j *job.Job, relay *responseRelay) (bool, *outcome.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(heartbeatTimeout, func() {
		// The connection may have died without a reset, and others with it.
		c.cfg.HTTP.CloseIdleConnections()
		cancel()
	})
	defer watchdog.Stop()
	relay.reused.Store(false)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { relay.reused.Store(i.Reused) }})
	stream, err := c.clientFor(address).Run(traced, authorize(c, newRunRequest(j.Ticket, j)))
	if err != nil {
		return false, nil
	}
	defer stream.Close()
	relay.received = 0
	for stream.Receive() {
		watchdog.Reset(heartbeatTimeout)
		relay.connected = true
		msg := stream.Msg()
		if final := msg.GetFinal(); final != nil {
			return true, claims.DecodeFinal(final)
		}
		if !relay.forward(msg) {
			return false, nil
		}
	}
	return false, nil
}

// forward passes the new part of a message to the sink and reports whether to continue.
func (r *responseRelay) forward(msg *peerv1.RunResponse) bool {
	if msg.GetHeartbeat() != nil {
		return true
	}
	if h := msg.GetHeader(); h != nil {
		if !r.headerSent {
			if !r.mayBegin() {
				return false
			}
			r.sink.Header(int(h.GetStatus()), h.GetContentType())
			r.headerSent = true
		}
		return true
	}
	data := msg.GetData()
	r.received += len(data)
	newBytes := min(max(r.received-r.forwarded, 0), len(data))
	if newBytes == 0 {
		return true
	}
	r.forwarded += newBytes
	if r.sink.Data(data[len(data)-newBytes:]) != nil {
		return false
	}
	r.sink.Flush()
	return true
}

func (r *responseRelay) unreachableError() *outcome.Error {
	err := outcome.MayHaveRunf(outcome.CodeOwnerUnreachable, "the owner of the ticket can't be reached")
	if r.forwarded > 0 {
		err.Outcome = outcome.Incomplete
	}
	return err
}
