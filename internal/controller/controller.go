// Package controller gives the orders to engines. It runs beside the entry on
// an entry VM, as a process of its own, so that neither can stall the other,
// and learns the fleet list from that entry: it never reads the platform.
package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1/peerv1connect"
	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/httpclient"
	"github.com/bridgehoist/bridgehoist/internal/httpserver"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/operatorapi"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/internal/tlsconfig"
	"github.com/bridgehoist/bridgehoist/internal/waitfor"
	"github.com/bridgehoist/bridgehoist/pkg/fencing"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

const (
	callTimeout   = 2 * time.Second
	idleTimeout   = 90 * time.Second
	maxReplyBytes = 1 << 20
	// maxHeadBytes bounds the head of an engine's answer.
	maxHeadBytes = 64 << 10
	// maxHeldBytes bounds what is held of the entry's answers.
	maxHeldBytes = 32 << 20
	// maxOperatorConnections bounds those to health and metrics.
	maxOperatorConnections = 64
	// maxOrderAge bounds the time between the refresh of the belief and the
	// send of an order, on this process's monotonic clock.
	maxOrderAge = 500 * time.Millisecond
)

// Config holds the settings of a controller.
type Config struct {
	VM         string
	DataCenter string
	EntryPeer  string
	Operator   string
	PeerToken  string
	PeerTLS    tlsconfig.Files
	Every      time.Duration
	MaxLoading int
}

// Register adds the settings to a set.
func (c *Config) Register(s *settings.Set) {
	s.StringVar(&c.VM, "vm", "", "name of this VM in the fleet list")
	s.StringVar(&c.DataCenter, "data-center", "", "data centre of this VM")
	s.StringVar(&c.EntryPeer, "entry-peer", "", "IP:port of the peer listener of the entry on this VM")
	s.StringVar(&c.Operator, "operator", "", "IP:port for operators: health and metrics")
	s.StringVar(&c.PeerToken, "peer-token", "", "secret that all entries share")
	c.PeerTLS.RegisterPeer(s)
	s.DurationVar(&c.Every, "every", 2*time.Second, "interval of the reconciliation")
	s.IntVar(&c.MaxLoading, "max-loading", 2, "engines of the data centre that load at once")
}

// Check records what is wrong with the settings.
func (c *Config) Check(s *settings.Set) {
	s.NeedText("vm", c.VM)
	s.NeedText("data-center", c.DataCenter)
	s.NeedAddress("entry-peer", c.EntryPeer)
	s.NeedAddress("operator", c.Operator)
	c.PeerTLS.CheckPeer(s)
	s.NeedDuration("every", c.Every, 10*time.Millisecond, time.Hour)
	s.NeedInt("max-loading", c.MaxLoading, 1, 10_000)
}

// Controller is one controller process.
type Controller struct {
	cfg     Config
	log     *log.Logger
	entry   peerv1connect.PeerServiceClient
	http    *http.Client
	fleet   *register.Register[*fleet.List]
	ordered bool

	registry *prometheus.Registry
	orders   *prometheus.CounterVec
}

// New makes a controller from checked settings.
func New(cfg Config, logger *log.Logger) (*Controller, error) {
	peerTLS, err := cfg.PeerTLS.Load()
	if err != nil {
		return nil, err
	}
	memory := membudget.New(maxHeldBytes)
	peers := tlsconfig.Client(peerTLS)
	peers.Timeout = callTimeout
	peers.Transport = peering.LimitResponses(peers.Transport, memory)
	c := &Controller{
		cfg:   cfg,
		log:   logger,
		entry: peerv1connect.NewPeerServiceClient(peers, tlsconfig.Scheme(peerTLS)+"://"+cfg.EntryPeer, peering.LimitMessages(memory)),
		http:  &http.Client{Timeout: callTimeout, Transport: httpclient.New(&http.Transport{MaxResponseHeaderBytes: maxHeadBytes, IdleConnTimeout: idleTimeout})},
		fleet: register.New(func(b []byte) (*fleet.List, error) { return fleet.Parse(published.Fleet, b) }),

		registry: prometheus.NewRegistry(),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bridgehoist", Subsystem: "controller", Name: "orders_total", Help: "Orders by result.",
		}, []string{"result"}),
	}
	c.registry.MustRegister(c.orders)
	return c, nil
}

// Run works until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	var operators sync.WaitGroup
	operators.Go(func() { c.serveOperators(ctx) })
	defer operators.Wait()
	t := time.NewTicker(c.cfg.Every)
	defer t.Stop()
	for {
		c.Reconcile(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			c.log.Info("stopped")
			return nil
		}
	}
}

// serveOperators serves health and metrics until the context ends. Orders don't wait for the address.
func (c *Controller) serveOperators(ctx context.Context) {
	l, err := waitfor.Listener(ctx, c.log, c.cfg.Operator)
	if err != nil {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc(operatorapi.PathHealth, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.Handle(operatorapi.PathMetrics, promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{}))
	server := httpserver.Start(l, httpserver.Config{
		HTTP:           &http.Server{Handler: mux, ReadHeaderTimeout: callTimeout},
		MaxConnections: maxOperatorConnections,
	})
	defer server.Close()
	<-ctx.Done()
}

// Reconcile gives the orders that are due, if this controller is the orderer.
func (c *Controller) Reconcile(ctx context.Context) {
	b, ok := c.refresh(ctx)
	if !ok || !c.isOrderer(b) {
		return
	}
	plan := fencing.Plan(b, c.cfg.DataCenter, c.observe(ctx, b.List), c.cfg.MaxLoading)
	for _, o := range plan {
		if !c.send(ctx, o) {
			return
		}
	}
}

func (c *Controller) isOrderer(b fencing.FleetSnapshot) bool {
	vm, ok := fencing.Orderer(b.List, c.cfg.DataCenter)
	mine := ok && vm == c.cfg.VM
	if mine != c.ordered {
		c.ordered = mine
		c.log.Info("orderer", "mine", mine, "vm", vm, "revision", b.Revision)
	}
	return mine
}

// refresh asks the entry for a newer fleet list. It returns false if the entry
// doesn't answer: a belief that can't be refreshed gives no orders.
func (c *Controller) refresh(ctx context.Context) (fencing.FleetSnapshot, bool) {
	req := connect.NewRequest(&peerv1.ExchangeRequest{})
	if held := c.fleet.Current(); held != nil {
		req.Msg.DocumentDigests = []*peerv1.DocumentDigest{{Name: published.Fleet, Revision: uint64(held.Revision)}}
	}
	if c.cfg.PeerToken != "" {
		req.Header().Set("Authorization", "Bearer "+c.cfg.PeerToken)
	}
	resp, err := c.entry.Exchange(ctx, req)
	if err != nil {
		return fencing.FleetSnapshot{}, false
	}
	for _, d := range resp.Msg.GetDocuments() {
		if d.GetName() == published.Fleet {
			_, _ = c.fleet.Offer(time.Now(), revision.ID(d.GetRevision()), d.GetContent(), register.FromPeer)
		}
	}
	held := c.fleet.Current()
	if held == nil {
		return fencing.FleetSnapshot{}, false
	}
	return fencing.FleetSnapshot{Revision: held.Revision, List: held.Value}, true
}

// observe asks the engines of the data centre for their models.
func (c *Controller) observe(ctx context.Context, l *fleet.List) []fencing.EngineReport {
	var out []fencing.EngineReport
	for _, e := range l.Endpoints {
		if e.Type != fleet.Engine || e.DataCenter != c.cfg.DataCenter {
			continue
		}
		var st engineapi.OrderState
		if err := c.call(ctx, http.MethodGet, e, nil, &st); err != nil {
			c.orders.WithLabelValues("unreachable").Inc()
			continue
		}
		out = append(out, fencing.EngineReport{Endpoint: e.ID, Fencing: st.Fencing, Loaded: st.Loaded, Loading: st.Loading})
	}
	return out
}

// send refreshes the belief and gives one order; false ends the round, because
// the belief has changed or is in doubt.
func (c *Controller) send(ctx context.Context, o fencing.Order) bool {
	b, ok := c.refresh(ctx)
	checked := time.Now()
	if !ok || uint64(b.Revision) != o.Fencing || !c.isOrderer(b) {
		return false
	}
	body, err := json.Marshal(engineapi.Order{Fencing: o.Fencing, Desired: o.Desired})
	if err != nil || time.Since(checked) > maxOrderAge {
		return false
	}
	result := "given"
	if err := c.call(ctx, http.MethodPost, o.Endpoint, body, nil); err != nil {
		result = "refused"
		c.log.Warn("order refused", "endpoint", o.Endpoint.ID, "fencing", o.Fencing, "error", err)
	} else {
		c.log.Info("order given", "endpoint", o.Endpoint.ID, "fencing", o.Fencing, "models", o.Desired)
	}
	c.orders.WithLabelValues(result).Inc()
	return true
}

func (c *Controller) call(ctx context.Context, method string, e fleet.Endpoint, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+engineapi.PathOrders, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New("status " + strconv.Itoa(resp.StatusCode))
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(out)
}
