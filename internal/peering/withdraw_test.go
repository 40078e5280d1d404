package peering

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/owner"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// TestOutcomesOfWithdrawnRequests guards against lost, or invented, outcomes of requests delegated by an entry that stops.
func TestOutcomesOfWithdrawnRequests(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	for name, c := range map[string]struct {
		// withdraw serves the calls of Withdraw in place of the peer, if set.
		withdraw http.HandlerFunc
		final    *outcome.Error
		want     outcome.Outcome
	}{
		"waits at the peer":             {nil, outcome.Stopping(), outcome.NotRun},
		"runs at the peer":              {nil, outcome.MayHaveRunf(outcome.CodeStopping, "stopping"), outcome.MayHaveRun},
		"a peer of an earlier version":  {http.NotFound, outcome.Stopping(), outcome.MayHaveRun},
		"the call is lost":              {func(http.ResponseWriter, *http.Request) { <-hang }, outcome.Stopping(), outcome.MayHaveRun},
		"the peer ends during the call": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, outcome.Stopping(), outcome.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			serving, ended := make(chan struct{}), make(chan struct{})
			p := newPeer(t, "b")
			s := NewServer(p.state, p.store, nil, nil, &Traffic{})
			s.ServeDelegated(func(_ string, _ http.ResponseWriter, r *http.Request) *outcome.Error {
				close(serving)
				<-r.Context().Done()
				close(ended)
				return c.final
			})
			handler := s.Handler("")
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.withdraw != nil && strings.HasSuffix(r.URL.Path, "/Withdraw") {
					c.withdraw(w, r)
					return
				}
				handler.ServeHTTP(w, r)
			}))
			t.Cleanup(server.CloseClientConnections)
			memory := membudget.New(peerBudget)
			d := NewDelegator("a", tcpconn.Dialer(time.Second), memory)
			ctx, cancel := context.WithCancelCause(t.Context())
			go func() {
				<-serving
				cancel(shutdown.ErrStopping)
			}()
			j := &job.Job{Method: http.MethodPost, Path: "/", Host: "h"}
			err := d.Delegate(ctx, membership.Contact{Address: server.Listener.Addr().String()}, j, nil, respond.NewWriter(httptest.NewRecorder()))
			g.Expect(err).NotTo(BeNil())
			g.Expect(err.Outcome).To(Equal(c.want))
			g.Eventually(ended, "5s").Should(BeClosed(), "the peer stops its work")
			g.Eventually(memory.Used, "5s").Should(BeZero())
		})
	}
}

// tappedConn calls tap with what it has read before Read returns it.
type tappedConn struct {
	net.Conn
	tap func(read []byte)
}

func (c *tappedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.tap(p[:n])
	return n, err
}

// TestNoDelegatedResponseBeginsOfARequestThatHasEnded guards against responses that begin as the stop ends their
// requests, and are cut.
func TestNoDelegatedResponseBeginsOfARequestThatHasEnded(t *testing.T) {
	g := NewWithT(t)
	server := serveDelegated(t, func(_ string, w http.ResponseWriter, r *http.Request) *outcome.Error {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\n\n"))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		return outcome.New(outcome.Incomplete, outcome.CodeStopping, "stopping")
	})
	open, end := context.WithCancelCause(t.Context())
	ctx, release := shutdown.Abortable(t.Context(), open)
	defer release()
	d := NewDelegator("a", func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := tcpconn.Dialer(time.Second)(ctx, network, address)
		return &tappedConn{c, func(read []byte) {
			if bytes.Contains(read, []byte("id: 1")) {
				end(shutdown.ErrStopping)
			}
		}}, err
	}, nil)
	caller := httptest.NewRecorder()
	j := &job.Job{Method: http.MethodPost, Path: "/", Host: "h"}
	err := d.Delegate(ctx, membership.Contact{Address: server.Listener.Addr().String()}, j, nil, respond.NewWriter(caller))
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Outcome).To(Equal(outcome.MayHaveRun))
	g.Expect(caller.Body.String()).To(BeEmpty())
}

// closeNotifier calls onClose when the connection is closed.
type closeNotifier struct {
	net.Conn
	onClose func()
}

func (c *closeNotifier) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// TestAResponseThatCrossesItsWithdrawalIsPassedOn guards against responses that are dropped although they are complete.
func TestAResponseThatCrossesItsWithdrawalIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	for range 20 {
		responded, withdrawn := make(chan struct{}), make(chan struct{})
		server := serveDelegated(t, func(_ string, w http.ResponseWriter, _ *http.Request) *outcome.Error {
			_, _ = w.Write([]byte("reply"))
			return nil
		})
		openWithdrawn := sync.OnceFunc(func() { close(withdrawn) })
		dials := 0
		d := NewDelegator("a", func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := tcpconn.Dialer(time.Second)(ctx, network, address)
			if dials++; dials > 1 {
				return &closeNotifier{c, openWithdrawn}, err
			}
			responded := sync.OnceFunc(func() { close(responded) })
			return &tappedConn{c, func([]byte) { responded(); <-withdrawn }}, err
		}, nil)
		ctx, stop := context.WithCancelCause(t.Context())
		go func() {
			<-responded
			stop(shutdown.ErrStopping)
		}()
		caller := httptest.NewRecorder()
		j := &job.Job{Method: http.MethodPost, Path: "/", Host: "h"}
		g.Expect(d.Delegate(ctx, membership.Contact{Address: server.Listener.Addr().String()}, j, nil, respond.NewWriter(caller))).To(BeNil())
		g.Expect(caller.Body.String()).To(Equal("reply"))
	}
}

// TestAForwardedRequestIsAnsweredAtTheStopOfTheOwner guards against streams that are cut without an outcome.
func TestAForwardedRequestIsAnsweredAtTheStopOfTheOwner(t *testing.T) {
	g := NewWithT(t)
	open, end := context.WithCancelCause(t.Context())
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	o := owner.New(claims.New(time.Now(), claims.Config{Secret: []byte("s")}), func(context.Context, *job.Job, job.Sink) *outcome.Error {
		end(shutdown.ErrStopping)
		<-release
		return nil
	}, nil, func(*job.Job) {})
	ticket, _ := o.Mint("w")
	p := newPeer(t, "b")
	j := &job.Job{Workspace: "w", Ticket: ticket}
	s := NewServer(p.state, p.store, o, func(*peerv1.RunRequest) (*job.Job, *outcome.Error) { return j, nil }, &Traffic{})
	s.EndForwarded(open)
	server := httptest.NewServer(s.Handler(""))
	t.Cleanup(server.CloseClientConnections)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done, err := p.client.attach(ctx, server.Listener.Addr().String(), &job.Job{Workspace: "w", Ticket: ticket}, &responseRelay{})
	g.Expect(done).To(BeTrue())
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Outcome).To(Equal(outcome.MayHaveRun))
	g.Expect(err.Code).To(Equal(outcome.CodeStopping))
}
