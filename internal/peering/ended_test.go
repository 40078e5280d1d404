package peering

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// TestARequestThatHasEndedIsNotDelegated guards against requests that a peer runs and that are withdrawn at once.
func TestARequestThatHasEndedIsNotDelegated(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int64
	server := serveDelegated(t, func(string, http.ResponseWriter, *http.Request) *outcome.Error {
		served.Add(1)
		return outcome.Stopping()
	})
	var dials atomic.Int64
	d := NewDelegator("a", func(call context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return tcpconn.Dialer(time.Second)(call, network, address)
	}, nil)
	ctx, end := context.WithCancelCause(t.Context())
	end(shutdown.ErrStopping)
	j := &job.Job{Method: http.MethodPost, Path: "/", Host: "h"}
	for range 20 {
		err := d.Delegate(ctx, membership.Contact{Address: server.Listener.Addr().String()}, j, nil, respond.NewWriter(httptest.NewRecorder()))
		g.Expect(err).NotTo(BeNil())
		g.Expect(err.Outcome).To(Equal(outcome.NotRun))
		g.Expect(err.Code).To(Equal(outcome.CodeStopping))
	}
	g.Expect(dials.Load()).To(BeZero())
	g.Expect(served.Load()).To(BeZero())
}

// TestARequestThatEndsBeforeItIsSentIsNotDelegated guards against requests that are sent to a peer while they are
// withdrawn from it.
func TestARequestThatEndsBeforeItIsSentIsNotDelegated(t *testing.T) {
	g := NewWithT(t)
	served := make(chan struct{}, 1)
	server := serveDelegated(t, func(string, http.ResponseWriter, *http.Request) *outcome.Error {
		served <- struct{}{}
		return outcome.Stopping()
	})
	ctx, end := context.WithCancelCause(t.Context())
	var dials atomic.Int64
	withdrawn := make(chan struct{})
	d := NewDelegator("a", func(call context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			close(withdrawn)
			return tcpconn.Dialer(time.Second)(call, network, address)
		}
		end(shutdown.ErrStopping)
		select {
		case <-withdrawn:
			return tcpconn.Dialer(time.Second)(call, network, address)
		case <-call.Done():
			return nil, call.Err()
		}
	}, nil)
	j := &job.Job{Method: http.MethodPost, Path: "/", Host: "h"}
	err := d.Delegate(ctx, membership.Contact{Address: server.Listener.Addr().String()}, j, nil, respond.NewWriter(httptest.NewRecorder()))
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Outcome).To(Equal(outcome.NotRun))
	g.Expect(dials.Load()).To(BeEquivalentTo(1), "nothing is withdrawn")
	g.Expect(served).NotTo(Receive())
}

// writeHook calls before ahead of each Write.
type writeHook struct {
	net.Conn
	before func()
}

func (c *writeHook) Write(p []byte) (int, error) {
	c.before()
	return c.Conn.Write(p)
}

// TestARequestThatArrivesAfterItsWithdrawalIsNotServed guards against requests that a peer passes on once they have
// been withdrawn from it.
func TestARequestThatArrivesAfterItsWithdrawalIsNotServed(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int64
	server := serveDelegated(t, func(string, http.ResponseWriter, *http.Request) *outcome.Error {
		served.Add(1)
		return nil
	})
	ctx, end := context.WithCancelCause(t.Context())
	var dials atomic.Int64
	withdrawn := make(chan struct{})
	d := NewDelegator("a", func(call context.Context, network, address string) (net.Conn, error) {
		c, err := tcpconn.Dialer(time.Second)(call, network, address)
		if dials.Add(1) > 1 {
			return &closeNotifier{c, sync.OnceFunc(func() { close(withdrawn) })}, err
		}
		return &writeHook{c, func() {
			end(shutdown.ErrStopping)
			<-withdrawn
		}}, err
	}, nil)
	j := &job.Job{Method: http.MethodPost, Path: "/", Host: "h"}
	err := d.Delegate(ctx, membership.Contact{Address: server.Listener.Addr().String()}, j, nil, respond.NewWriter(httptest.NewRecorder()))
	g.Expect(err).NotTo(BeNil())
	g.Expect(served.Load()).To(BeZero())
	g.Expect(err.Outcome).To(Equal(outcome.NotRun))
	g.Expect(err.Code).To(Equal(outcome.CodeStopping))
}

// lookedAtContext calls onErr when Err returns an error.
type lookedAtContext struct {
	context.Context
	onErr func()
}

func (c lookedAtContext) Err() error {
	err := c.Context.Err()
	if err != nil {
		c.onErr()
	}
	return err
}

// TestARequestThatEndsWhileItsConnectionOpensIsNotDelegated guards against requests that are sent to a peer once it has
// been decided that there is nothing to withdraw.
func TestARequestThatEndsWhileItsConnectionOpensIsNotDelegated(t *testing.T) {
	g := NewWithT(t)
	ending, returned := make(chan struct{}), make(chan struct{})
	var served atomic.Int64
	server := serveDelegated(t, func(string, http.ResponseWriter, *http.Request) *outcome.Error {
		served.Add(1)
		return nil
	})
	open, end := context.WithCancelCause(t.Context())
	announce := sync.OnceFunc(func() { close(ending) })
	ctx := lookedAtContext{open, func() { announce(); <-returned }}
	d := NewDelegator("a", func(call context.Context, network, address string) (net.Conn, error) {
		end(shutdown.ErrStopping)
		<-ending
		return tcpconn.Dialer(time.Second)(call, network, address)
	}, nil)
	j := &job.Job{Method: http.MethodPost, Path: "/", Host: "h"}
	err := d.Delegate(ctx, membership.Contact{Address: server.Listener.Addr().String()}, j, nil, respond.NewWriter(httptest.NewRecorder()))
	close(returned)
	g.Expect(err).NotTo(BeNil())
	g.Expect(served.Load()).To(BeZero())
	g.Expect(err.Outcome).To(Equal(outcome.NotRun))
}
