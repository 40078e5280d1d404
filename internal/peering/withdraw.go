package peering

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1/peerv1connect"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
)

// An entry that is about to stop has the connections of the callers whose requests it has delegated. It asks the
// peer to end these requests, so that their outcomes still reach the callers.

// withdrawTimeout bounds the wait for the outcome of a withdrawn request. It is less than the time for
// final answers at the end of a process.
const withdrawTimeout = 300 * time.Millisecond

// withdraw asks a peer to end a delegated request, and waits until the call has ended.
func withdraw(call context.Context, client peerv1connect.PeerServiceClient, id uint64) {
	call, cancel := context.WithTimeout(call, withdrawTimeout)
	defer cancel()
	_, err := client.Withdraw(call, connect.NewRequest(&peerv1.WithdrawRequest{DelegationId: id}))
	// A request that the peer doesn't have may have ended, with its response on the way.
	if err == nil || connect.CodeOf(err) == connect.CodeNotFound {
		<-call.Done()
	}
}

// Withdraw implements peerv1connect.PeerServiceHandler. The calling entry is about to stop.
func (s *Server) Withdraw(_ context.Context, req *connect.Request[peerv1.WithdrawRequest]) (*connect.Response[peerv1.WithdrawResponse], error) {
	if !s.delegations.end(req.Msg.GetDelegationId(), shutdown.ErrStopping) {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no such delegated request"))
	}
	return connect.NewResponse(&peerv1.WithdrawResponse{}), nil
}

// maxWithdrawn bounds the withdrawn requests that are remembered. It is the default for the requests that are open at
// once at the entry that withdraws them.
const maxWithdrawn = 1024

// delegations holds how to end the delegated requests that a server serves, by delegation ID. The zero
// value is empty. It is safe for concurrent use.
type delegations struct {
	mu   sync.Mutex
	ends map[uint64]context.CancelCauseFunc
	// withdrawn are the last IDs that were withdrawn and not served then. Such a request has ended, or is still on
	// its way, as each call has a connection of its own. next is the index of the oldest.
	withdrawn [maxWithdrawn]uint64
	next      int
}

// add adds a request until remove is called, and reports whether it may be served: not if it was withdrawn before.
// ID zero is not added.
func (d *delegations) add(id uint64, end context.CancelCauseFunc) (remove func(), ok bool) {
	if id == 0 {
		return func() {}, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Contains(d.withdrawn[:], id) {
		return nil, false
	}
	if d.ends == nil {
		d.ends = map[uint64]context.CancelCauseFunc{}
	}
	d.ends[id] = end
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.ends, id)
	}, true
}

// end ends a request with a cause, and reports whether it was there. If not, it isn't served when it comes.
func (d *delegations) end(id uint64, cause error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	end, ok := d.ends[id]
	if !ok {
		d.withdrawn[d.next] = id
		d.next = (d.next + 1) % maxWithdrawn
		return false
	}
	end(cause)
	return true
}
