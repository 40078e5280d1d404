package peering

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/owner"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// silencingListener accepts connections that can be silenced: they lose all data, without a reset.
type silencingListener struct {
	net.Listener
	// silenced counts the calls of silence; connections of earlier generations are silent.
	silenced atomic.Int64
}

func (l *silencingListener) silence() { l.silenced.Add(1) }

// Accept implements net.Listener.
func (l *silencingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &silenceableConn{Conn: c, listener: l, generation: l.silenced.Load()}, err
}

type silenceableConn struct {
	net.Conn
	listener   *silencingListener
	generation int64
}

func (c *silenceableConn) silent() bool { return c.listener.silenced.Load() != c.generation }

// Read implements net.Conn.
func (c *silenceableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silenceableConn) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// serveSilenceable serves the entry at a second address and returns its contact.
func (p *testPeer) serveSilenceable(t *testing.T, vm string) (membership.Contact, *silencingListener) {
	return serveSilenceable(t, vm, NewServer(p.state, p.store, nil, nil, &Traffic{}))
}

func serveSilenceable(t *testing.T, vm string, s *Server) (membership.Contact, *silencingListener) {
	server := httptest.NewUnstartedServer(s.Handler(""))
	l := &silencingListener{Listener: server.Listener}
	server.Listener = l
	server.Start()
	t.Cleanup(server.Close)
	return membership.Contact{VM: vm, DataCenter: "hall", Address: l.Addr().String()}, l
}

// Each dead connection to a peer cost an exchange that timed out.
func TestOneTimeoutReplacesAllIdleConnections(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, "a")
	var peers []membership.Contact
	var listeners []*silencingListener
	for _, vm := range []string{"b", "c", "d"} {
		contact, l := newPeer(t, vm).serveSilenceable(t, vm)
		peers, listeners = append(peers, contact), append(listeners, l)
	}
	var reused []bool
	cfg := Config{ClusterState: p.state, Store: p.store, HTTP: &http.Client{Transport: &http.Transport{}}, Scheme: "http", Traffic: &Traffic{}, Timeout: generousTimeout,
		OnTimeout: func(_ membership.Contact, r bool) { reused = append(reused, r) }}
	patient := NewClient(cfg)
	cfg.Timeout = 200 * time.Millisecond
	impatient := NewClient(cfg)
	ctx := context.Background()
	g.Expect(patient.Reconcile(ctx, peers)).To(Equal(3))
	for _, l := range listeners {
		l.silence()
	}
	g.Expect(impatient.Reconcile(ctx, peers[:1])).To(BeZero())
	g.Expect(reused).To(Equal([]bool{true}))
	g.Expect(patient.Reconcile(ctx, peers)).To(Equal(3))
}

func TestNoDelegatedRequestIsSentOnAConnectionThatFellSilent(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, "b")
	s := NewServer(p.state, p.store, nil, nil, &Traffic{})
	s.ServeDelegated(func(string, http.ResponseWriter, *http.Request) *outcome.Error { return nil })
	contact, listener := serveSilenceable(t, "b", s)
	d := NewDelegator("a", tcpconn.Dialer(time.Second), nil)
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), generousTimeout)
		defer cancel()
		g.Expect(d.Delegate(ctx, contact, &job.Job{Method: http.MethodPost, Path: "/x"}, nil, respond.NewWriter(httptest.NewRecorder()))).To(BeNil())
		listener.silence()
	}
}

func TestASilentConnectionToATicketsOwnerReplacesAllIdleOnes(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, "a")
	client := NewClient(Config{ClusterState: p.state, Store: p.store, HTTP: &http.Client{Transport: &http.Transport{}}, Scheme: "http", Traffic: &Traffic{}, Timeout: generousTimeout})
	owner, ownerListener := newPeer(t, "b").serveSilenceable(t, "b")
	other, otherListener := newPeer(t, "c").serveSilenceable(t, "c")
	g.Expect(client.Reconcile(t.Context(), []membership.Contact{owner, other})).To(Equal(2))
	ownerListener.silence()
	otherListener.silence()
	done, _ := client.attach(t.Context(), owner.Address, &job.Job{}, &responseRelay{})
	g.Expect(done).To(BeFalse())
	g.Expect(client.Reconcile(t.Context(), []membership.Contact{owner, other})).To(Equal(2))
}

// TestCallsOnKeptConnectionsThatThePeerCloses guards against tickets that are lost, and requests that fail, since the peer
// closes an idle connection as the call is written on it.
func TestCallsOnKeptConnectionsThatThePeerCloses(t *testing.T) {
	for name, call := range map[string]func(g *WithT, client *Client, peer membership.Contact, o *owner.Owner, ticket string){
		"handover": func(g *WithT, client *Client, peer membership.Contact, o *owner.Owner, _ string) {
			stopping := claims.New(time.Now(), claims.Config{Incarnation: claims.Incarnation{1}, Secret: []byte("s")})
			stopping.Freeze()
			g.Expect(client.handOverTo(t.Context(), peer, stopping.Export(time.Now(), []byte(peer.VM)))).To(Succeed())
			g.Expect(o.Holds(claims.Incarnation{1})).To(BeTrue())
		},
		"forwarded": func(g *WithT, client *Client, _ membership.Contact, _ *owner.Owner, text string) {
			ticket, _ := claims.ParseTicket(text)
			caller := httptest.NewRecorder()
			g.Expect(client.Forward(t.Context(), ticket, &job.Job{Workspace: "w", Ticket: text}, respond.NewWriter(caller))).To(BeNil())
			g.Expect(caller.Body.String()).To(Equal("reply"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPeer(t, "b")
			var s *Server
			var used sync.Map
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, again := used.LoadOrStore(r.RemoteAddr, true); again && !strings.HasSuffix(r.URL.Path, "/Exchange") {
					panic(http.ErrAbortHandler)
				}
				s.Handler("").ServeHTTP(w, r)
			}))
			t.Cleanup(server.Close)
			incarnation := claims.Incarnation{2}
			peer := membership.Contact{VM: string(incarnation[:]), Address: server.Listener.Addr().String()}
			o := owner.New(claims.New(time.Now(), claims.Config{VM: "z", PeerAddress: peer.Address, Incarnation: incarnation, Secret: []byte("s")}),
				func(_ context.Context, _ *job.Job, sink job.Sink) *outcome.Error {
					sink.Header(http.StatusOK, "text/plain")
					_ = sink.Data([]byte("reply"))
					return nil
				}, nil, func(*job.Job) {})
			ticket, _ := o.Mint("w")
			s = NewServer(p.state, p.store, o, func(*peerv1.RunRequest) (*job.Job, *outcome.Error) {
				return &job.Job{Workspace: "w", Ticket: ticket}, nil
			}, &Traffic{})
			client := NewClient(Config{ClusterState: p.state, Store: p.store, HTTP: &http.Client{Transport: &http.Transport{}}, Scheme: "http",
				Traffic: &Traffic{}, Timeout: generousTimeout, Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}})
			g.Expect(client.Reconcile(t.Context(), []membership.Contact{peer})).To(Equal(1))
			call(g, client, peer, o, ticket)
		})
	}
}
