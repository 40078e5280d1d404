package peering

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1/peerv1connect"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

const (
	exchangeTimeout = time.Second
	handoverTimeout = 5 * time.Second
	// maxReattach bounds how often a broken link to an owner is taken up again.
	maxReattach = 3
	// heartbeatEvery is how often an owner shows that it is there, and
	// maxSilence how long a caller's entry waits for that.
	heartbeatEvery = 500 * time.Millisecond
	maxSilence     = 2 * time.Second
)

// Config holds the settings of a Client.
type Config struct {
	Beliefs *Beliefs
	Store   *published.Store
	HTTP    *http.Client
	// Scheme is http or https.
	Scheme string
	Token  string
	// Networks are where an owner that isn't in the view may be called.
	Networks []netip.Prefix
	Traffic  *Traffic
	// Timeout bounds one exchange; zero is exchangeTimeout.
	Timeout time.Duration
}

// Client makes the calls of an entry to the others.
type Client struct {
	cfg Config

	mu        sync.Mutex
	byAddress map[string]peerv1connect.PeerServiceClient
	successor string
}

// NewClient makes a client.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, byAddress: map[string]peerv1connect.PeerServiceClient{}}
}

// compressFrom is the size of the messages that are compressed, in bytes. A compressor
// holds about a megabyte, which is cleared for every message: when all answers were
// compressed, 100 entries that start together took 13 s of processor time in place of 4
// (profiled in one process). Large tables need it: one of 1,700 routes has 400 KB, a third
// of a second on the smallest VM's link of 10 Mbit/s, and when several peers fetched it
// none had it within the timeout; for ten seconds entries went on by the table before.
const compressFrom = 64 << 10

// maxClients bounds the clients kept; they hold no connection of their own.
const maxClients = 1024

func (c *Client) at(address string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.byAddress[address]; p != nil {
		return p
	}
	if len(c.byAddress) >= maxClients {
		clear(c.byAddress)
	}
	p := peerv1connect.NewPeerServiceClient(c.cfg.HTTP, c.cfg.Scheme+"://"+address,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom))
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

// Round reconciles with the peers that the view picks now, and returns how
// many answered of how many.
func (c *Client) Round(ctx context.Context) (answered, asked int) {
	var peers []membership.Contact
	c.cfg.Beliefs.View(func(v *membership.View) { peers = v.SelectPeers(clock.Now()) })
	return c.Reconcile(ctx, peers), len(peers)
}

// Reconcile exchanges with each of the peers and returns how many answered.
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

func (c *Client) digests(p membership.Contact) *peerv1.ExchangeRequest {
	req := &peerv1.ExchangeRequest{RequestFactKeys: keysOut(c.cfg.Beliefs.guard.Keys()), TakesChanges: true}
	c.cfg.Beliefs.View(func(v *membership.View) {
		scope := v.ScopeWith(p)
		req.FromVm = v.Self().GetVm()
		req.DataCenter = v.Self().GetDataCenter()
		req.All = scope == ""
		req.Digests = v.Digests(clock.Now(), scope)
	})
	for name, newest := range c.cfg.Store.Seen() {
		req.DocumentDigests = append(req.DocumentDigests, &peerv1.DocumentDigest{Name: name, Revision: uint64(newest)})
	}
	return req
}

func (c *Client) exchange(ctx context.Context, p membership.Contact) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.cfg.Timeout, exchangeTimeout))
	defer cancel()
	resp, err := c.call(ctx, p, c.digests(p))
	if err != nil {
		return err
	}
	now := clock.Now()
	takeDocuments(now, c.cfg.Store, resp.GetDocuments(), p.VM)
	c.cfg.Beliefs.Merge(now, resp.GetRecords())
	c.cfg.Beliefs.guard.Add(factsIn(now, resp.GetRequestFacts())...)
	c.cfg.Beliefs.View(func(v *membership.View) { v.MergeHeartbeats(now, resp.GetDigests()) })
	push := c.wanted(resp)
	if push == nil {
		return nil
	}
	_, err = c.call(ctx, p, push)
	return err
}

func (c *Client) call(ctx context.Context, p membership.Contact, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	c.cfg.Traffic.Sent(req)
	resp, err := c.at(p.Address).Exchange(ctx, authorize(c, req))
	if err != nil {
		return nil, err
	}
	c.cfg.Traffic.Received(resp.Msg)
	return resp.Msg, nil
}

// wanted collects what a peer asked for, or nil.
func (c *Client) wanted(resp *peerv1.ExchangeResponse) *peerv1.ExchangeRequest {
	if len(resp.GetWantedNodes()) == 0 && len(resp.GetWantedDocuments()) == 0 && len(resp.GetWantedRequestFacts()) == 0 {
		return nil
	}
	req := &peerv1.ExchangeRequest{PushOnly: true}
	c.cfg.Beliefs.View(func(v *membership.View) {
		req.FromVm = v.Self().GetVm()
		req.Records = v.Records(resp.GetWantedNodes())
	})
	var wanted []published.Value
	for i, name := range resp.GetWantedDocuments() {
		since := revision.ID(0)
		if i < len(resp.GetWantedSince()) {
			since = revision.ID(resp.GetWantedSince()[i])
		}
		if v, ok := c.cfg.Store.Since(name, since); ok {
			wanted = append(wanted, v)
		}
	}
	now := clock.Now()
	req.Documents = documentsOut(now, wanted)
	req.RequestFacts = factsOut(now, c.cfg.Beliefs.guard.Facts(keysIn(resp.GetWantedRequestFacts())))
	return req
}
