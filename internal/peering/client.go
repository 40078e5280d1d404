package peering

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1/peerv1connect"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

const (
	exchangeTimeout = time.Second
	handoverTimeout = 5 * time.Second
	// maxAttachments is the maximum number of streams opened to a ticket's owner for one
	// request: when a stream breaks, the client opens another.
	maxAttachments = 3
	// heartbeatInterval is how often an owner sends a heartbeat on a stream, and
	// heartbeatTimeout how long the client waits for any message before it closes the stream.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 2 * time.Second
)

// Config configures a Client.
type Config struct {
	ClusterState *ClusterState
	Store        *published.Store
	HTTP         *http.Client
	// Scheme is http or https.
	Scheme string
	Token  string
	// Networks are the networks in which an owner that is not in the membership view may be
	// called.
	Networks []netip.Prefix
	Traffic  *Traffic
	// Memory bounds what responses decompress to; nil is unlimited. HTTP bounds what arrives; see
	// LimitResponses.
	Memory *membudget.Budget
	// Timeout bounds one exchange; zero means exchangeTimeout.
	Timeout time.Duration
	// OnTimeout, if set, is called when an exchange times out. reused reports that its connection
	// had been used before: either the peer hangs, or the connection is dead.
	OnTimeout func(p membership.Contact, reused bool)
}

// Client calls the peer service of other entries.
type Client struct {
	cfg Config

	mu        sync.Mutex
	byAddress map[string]peerv1connect.PeerServiceClient
	// successor is the address of the entry that adopted the tickets of this one, or empty.
	successor string
}

func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, byAddress: map[string]peerv1connect.PeerServiceClient{}}
}

// minCompressBytes is the size in bytes from which messages are compressed. A compressor holds
// about 1 MB, which is cleared for every message: with all responses compressed, 100 entries
// starting together in one process took 13 s of CPU time instead of 4 s. Large tables need
// compression: one of 1,700 routes has 400 KB, which takes a third of a second on the smallest
// VM's link of 10 Mbit/s. When several peers fetched it uncompressed, none received it within
// the timeout, and the entries used an outdated table for ten seconds.
const minCompressBytes = 64 << 10

// maxClients bounds the cached clients. They share the connections of Config.HTTP, so that the
// cache can be cleared at any time.
const maxClients = 1024

func (c *Client) clientFor(address string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.byAddress[address]; p != nil {
		return p
	}
	if len(c.byAddress) >= maxClients {
		clear(c.byAddress)
	}
	p := peerv1connect.NewPeerServiceClient(c.cfg.HTTP, c.cfg.Scheme+"://"+address,
		LimitMessages(c.cfg.Memory), connect.WithSendGzip(), connect.WithCompressMinBytes(minCompressBytes))
	c.byAddress[address] = p
	return p
}

func authorize[T any](c *Client, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	if c.cfg.Token != "" {
		req.Header().Set(tokenHeader, tokenPrefix+c.cfg.Token)
	}
	return req
}

// Round reconciles with the peers that the membership view picks for this round. It returns the
// number of peers that answered and the number that were called.
func (c *Client) Round(ctx context.Context) (answered, attempted int) {
	var peers []membership.Contact
	c.cfg.ClusterState.WithView(func(v *membership.View) { peers = v.SelectPeers(clock.Now()) })
	return c.Reconcile(ctx, peers), len(peers)
}

// Reconcile exchanges with all the peers concurrently and returns how many answered.
func (c *Client) Reconcile(ctx context.Context, peers []membership.Contact) int {
	var wg sync.WaitGroup
	results := make([]bool, len(peers))
	for i, p := range peers {
		wg.Go(func() { results[i] = c.exchange(ctx, p) == nil })
	}
	wg.Wait()
	count := 0
	for _, ok := range results {
		if ok {
			count++
		}
	}
	return count
}

func (c *Client) newExchangeRequest(p membership.Contact) *peerv1.ExchangeRequest {
	guard := c.cfg.ClusterState.guard
	req := &peerv1.ExchangeRequest{RequestFactKeys: encodeKeys(guard.Keys()), PartFactKeys: encodeKeys(guard.PartKeys()), TakesChanges: true}
	c.cfg.ClusterState.WithView(func(v *membership.View) {
		scope := v.ScopeWith(p)
		req.FromVm = v.Self().GetVm()
		req.DataCenter = v.Self().GetDataCenter()
		req.All = scope == ""
		req.Digests = v.Digests(clock.Now(), scope)
	})
	for name, rev := range c.cfg.Store.SeenRevisions() {
		req.DocumentDigests = append(req.DocumentDigests, &peerv1.DocumentDigest{Name: name, Revision: uint64(rev)})
	}
	return req
}

func (c *Client) exchange(ctx context.Context, p membership.Contact) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.cfg.Timeout, exchangeTimeout))
	defer cancel()
	resp, err := c.call(ctx, p, c.newExchangeRequest(p))
	if err != nil {
		return err
	}
	now := clock.Now()
	offerDocuments(now, c.cfg.Store, resp.GetDocuments(), p.VM)
	c.cfg.ClusterState.Merge(now, resp.GetRecords())
	c.cfg.ClusterState.guard.AddAll(decodeFacts(now, resp.GetRequestFacts()), decodePartFacts(now, resp.GetPartFacts()))
	c.cfg.ClusterState.WithView(func(v *membership.View) { v.MergeHeartbeats(now, resp.GetDigests()) })
	pushReq := c.newPushRequest(resp)
	if pushReq == nil {
		return nil
	}
	_, err = c.call(ctx, p, pushReq)
	return err
}

func (c *Client) call(ctx context.Context, p membership.Contact, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	c.cfg.Traffic.Sent(req)
	var reused atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused.Store(i.Reused) }})
	resp, err := c.clientFor(p.Address).Exchange(traced, authorize(c, req))
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.timedOut(p, reused.Load())
		}
		return nil, err
	}
	c.cfg.Traffic.Received(resp.Msg)
	return resp.Msg, nil
}

// timedOut handles an exchange that timed out. A connection that is dead without a reset suggests
// that others are too, so that all idle ones are replaced, rather than each after a timeout of its
// own.
func (c *Client) timedOut(p membership.Contact, reused bool) {
	if reused {
		c.cfg.HTTP.CloseIdleConnections()
	}
	if c.cfg.OnTimeout != nil {
		c.cfg.OnTimeout(p, reused)
	}
}

// newPushRequest returns a request with the records, documents and facts that a peer requests,
// or nil if it requests none.
func (c *Client) newPushRequest(resp *peerv1.ExchangeResponse) *peerv1.ExchangeRequest {
	if len(resp.GetWantedNodes()) == 0 && len(resp.GetWantedDocuments()) == 0 && len(resp.GetWantedRequestFacts()) == 0 && len(resp.GetWantedPartFacts()) == 0 {
		return nil
	}
	req := &peerv1.ExchangeRequest{PushOnly: true}
	c.cfg.ClusterState.WithView(func(v *membership.View) {
		req.FromVm = v.Self().GetVm()
		req.Records = v.Records(resp.GetWantedNodes())
	})
	var values []published.Value
	for i, name := range resp.GetWantedDocuments() {
		since := revision.ID(0)
		if i < len(resp.GetWantedSince()) {
			since = revision.ID(resp.GetWantedSince()[i])
		}
		if v, ok := c.cfg.Store.GetAsChanges(name, since); ok {
			values = append(values, v)
		}
	}
	now := clock.Now()
	req.Documents = encodeDocuments(now, values)
	req.RequestFacts = encodeFacts(now, c.cfg.ClusterState.guard.Facts(decodeKeys(resp.GetWantedRequestFacts())))
	req.PartFacts = encodePartFacts(now, c.cfg.ClusterState.guard.PartFacts(decodeKeys(resp.GetWantedPartFacts())))
	return req
}
