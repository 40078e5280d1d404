package peering

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1/peerv1connect"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/httpclient"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/responsehead"
)

// An entry that reaches no endpoint of a target delegates the requests for it to a peer that does.
// Each entry announces the targets that it can't reach, and whether it accepts delegated requests;
// entries of earlier versions don't. The peer serves a delegated request as if its caller were
// connected to it, but never delegates it again.

// targetHash identifies a target in a node record.
func targetHash(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

// SetUnreachableTargets sets the targets that the own record marks as unreachable from this entry.
// It reports whether they changed.
func (cs *ClusterState) SetUnreachableTargets(targets []string) (changed bool) {
	hashes := make([]uint32, len(targets))
	for i, target := range targets {
		hashes[i] = targetHash(target)
	}
	slices.Sort(hashes)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	changed = !slices.Equal(hashes, cs.unreachableTargets)
	cs.unreachableTargets = hashes
	return changed
}

// AcceptDelegated makes the own record say that this entry accepts delegated requests.
func (cs *ClusterState) AcceptDelegated() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.takesDelegated = true
}

// Delegates returns up to count peers that accept requests for a target, without those that skip
// reports, in the order in which to try them.
func (cs *ClusterState) Delegates(target string, count int, skip func(vm string) bool) (peers []membership.Contact) {
	hash := targetHash(target)
	cs.WithView(func(v *membership.View) {
		peers = v.Delegates(clock.Now(), count, func(m membership.Member) bool {
			return m.Record.GetTakesDelegated() && !slices.Contains(m.Record.GetUnreachableTargets(), hash) && !skip(m.VM)
		})
	})
	return peers
}

// DelegateHandler serves a request that another entry has delegated. It returns the outcome of a
// request that failed, and nil if the response is complete.
type DelegateHandler func(from string, w http.ResponseWriter, r *http.Request) *outcome.Error

// ServeDelegated makes the server accept delegated requests. It must be called before Handler.
func (s *Server) ServeDelegated(h DelegateHandler) { s.delegated = h }

// AdmitDelegated sets what decides whether a delegated request is served. release is called once its response has
// been written. It must be called before Handler.
func (s *Server) AdmitDelegated(admit func() (release func(), refusal *outcome.Error)) {
	s.admit = admit
}

// Delegate implements peerv1connect.PeerServiceHandler.
func (s *Server) Delegate(ctx context.Context, req *connect.Request[peerv1.DelegateRequest], stream *connect.ServerStream[peerv1.DelegateResponse]) error {
	if s.delegated == nil {
		return connect.NewError(connect.CodeUnimplemented, errors.New("this entry accepts no delegated requests"))
	}
	if s.admit != nil {
		release, refusal := s.admit()
		if refusal != nil {
			return sendFinal(stream, refusal)
		}
		defer release()
	}
	msg := req.Msg
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	remove, ok := s.delegations.add(msg.GetDelegationId(), cancel)
	if !ok {
		return sendFinal(stream, outcome.Stopping())
	}
	defer remove()
	r, err := newDelegatedRequest(ctx, msg)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	w := &delegateWriter{stream: stream, header: http.Header{}}
	failure := s.delegated(msg.GetFromVm(), w, r)
	if failure == nil {
		w.Flush()
	}
	return sendFinal(stream, failure)
}

func sendFinal(stream *connect.ServerStream[peerv1.DelegateResponse], failure *outcome.Error) error {
	return stream.Send(&peerv1.DelegateResponse{Part: &peerv1.DelegateResponse_Final{Final: claims.EncodeFinal(failure)}})
}

// newDelegatedRequest returns the request as the server of the delegating entry has read it.
func newDelegatedRequest(ctx context.Context, msg *peerv1.DelegateRequest) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, msg.GetMethod(), "/", bytes.NewReader(msg.GetBody()))
	if err != nil {
		return nil, err
	}
	r.RequestURI, r.Host, r.Header = string(msg.GetUri()), string(msg.GetHost()), decodeHeaders(msg.GetHeaders())
	r.URL, err = url.ParseRequestURI(r.RequestURI)
	return r, err
}

// delegateWriter is an http.ResponseWriter whose response goes to the delegating entry. It buffers the
// response until the first flush, so that a failure before it has no other effect.
type delegateWriter struct {
	stream   *connect.ServerStream[peerv1.DelegateResponse]
	header   http.Header
	status   int
	headSent bool
	body     []byte
	err      error
}

// Header implements http.ResponseWriter.
func (w *delegateWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *delegateWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *delegateWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.body = append(w.body, b...)
	return len(b), w.err
}

// Flush implements http.Flusher.
func (w *delegateWriter) Flush() {
	w.WriteHeader(http.StatusOK)
	if !w.headSent {
		w.headSent = true
		// They concern the connection to this entry only.
		w.header.Del("Connection")
		w.header.Del("Keep-Alive")
		w.send(&peerv1.DelegateResponse{Part: &peerv1.DelegateResponse_Head{
			Head: &peerv1.DelegateHead{Status: int32(w.status), Headers: encodeHeaders(w.header)},
		}})
	}
	for part := range slices.Chunk(w.body, maxPartBytes) {
		w.send(&peerv1.DelegateResponse{Part: &peerv1.DelegateResponse_Data{Data: part}})
	}
	w.body = nil
}

// maxPartBytes is the size of a part of a delegated response. Its message is held whole at both ends.
const maxPartBytes = 64 << 10

func (w *delegateWriter) send(part *peerv1.DelegateResponse) {
	if err := w.stream.Send(part); err != nil && w.err == nil {
		w.err = err
	}
}

func encodeHeaders(h http.Header) []*peerv1.Header {
	out := make([]*peerv1.Header, 0, len(h))
	for name, values := range h {
		header := &peerv1.Header{Name: name}
		for _, value := range values {
			header.Values = append(header.Values, []byte(value))
		}
		out = append(out, header)
	}
	return out
}

func decodeHeaders(in []*peerv1.Header) http.Header {
	h := make(http.Header, len(in))
	for _, one := range in {
		name := http.CanonicalHeaderKey(one.GetName())
		for _, value := range one.GetValues() {
			h[name] = append(h[name], string(value))
		}
	}
	return h
}

// Delegator delegates requests to peers.
type Delegator struct {
	http   *http.Client
	fromVM string
	memory *membudget.Budget
}

// NewDelegator returns a delegator for the entry on a VM. Each request gets a connection of its own:
// a kept one may have died without a reset, and a request that was lost on it can't be repeated. memory
// bounds what is held of responses; nil is unlimited.
func NewDelegator(fromVM string, dial tcpconn.DialContext, memory *membudget.Budget) *Delegator {
	transport := httpclient.New(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes})
	return &Delegator{fromVM: fromVM, http: &http.Client{Transport: LimitResponses(transport, memory)}, memory: memory}
}

// Delegate has a peer serve a request, and passes on its response: a stream as it arrives, any other
// response when it is complete. header is that of the request. The error is the outcome of a request
// that failed. It is NotRun only if the peer can't have begun to serve the request, or says so.
//
// If ctx ends because the entry is about to stop, a request that the peer may have is withdrawn: the peer is asked for
// the outcome, and the call ends withdrawTimeout later at the latest.
func (d *Delegator) Delegate(ctx context.Context, to membership.Contact, j *job.Job, header http.Header, sink job.HeaderSink) *outcome.Error {
	if ctx.Err() != nil {
		return shutdown.NotRun(ctx)
	}
	var sending sending
	// The call outlasts ctx, whose end is handled below.
	call, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	streaming, message := withMessageMemory(call)
	traced := httptrace.WithClientTrace(streaming, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { sending.connect(i.Conn) }})
	client := peerv1connect.NewPeerServiceClient(d.http, "http://"+to.Address,
		LimitMessages(d.memory), connect.WithSendMaxBytes(maxMessageBytes))
	id := rand.Uint64()
	stop := context.AfterFunc(ctx, func() {
		if sending.end() && context.Cause(ctx) == shutdown.ErrStopping {
			withdraw(call, client, id)
		}
		cancel(context.Cause(ctx))
	})
	defer stop()
	stream, err := client.Delegate(traced, connect.NewRequest(&peerv1.DelegateRequest{
		DelegationId: id, FromVm: d.fromVM, Method: j.Method, Uri: []byte(j.Path), Host: []byte(j.Host), Headers: encodeHeaders(header), Body: j.Body,
	}))
	if err != nil {
		return delegationError(err, sending.hasConnected(), false)
	}
	defer stream.Close()
	relay := delegatedResponse{sink: sink, memory: d.memory.Reserve(), mayBegin: func() bool { return shutdown.BeginResponse(ctx) }}
	defer relay.memory.Release()
	for stream.Receive() {
		message.next()
		if done, failure := relay.take(stream.Msg()); done {
			return failure
		}
	}
	return delegationError(stream.Err(), sending.hasConnected(), relay.started)
}

// sending decides whether a call is sent or ends before. It is safe for concurrent use.
type sending struct {
	mu               sync.Mutex
	connected, ended bool
}

// connect is called when the call has got its connection, which it doesn't share. http.Transport writes to it even if
// the context of the call has ended, so it is closed then.
func (s *sending) connect(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = c.Close()
		return
	}
	s.connected = true
}

// end ends the call unless it is connected, and reports whether it is.
func (s *sending) end() (connected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.connected
}

func (s *sending) hasConnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected
}

// maxPlainBytes is up to which size a response that isn't a stream is held until it is complete.
const maxPlainBytes = 4 << 20

// delegatedResponse passes a response of a peer on to a sink.
type delegatedResponse struct {
	sink job.HeaderSink
	head *peerv1.DelegateHead
	// plain is the body of a response that isn't a stream, passed on when it is complete or too large.
	plain  []byte
	memory *membudget.Reservation
	// mayBegin reports whether a response that isn't complete may begin.
	mayBegin func() bool
	// started is set once a part of the response has been passed on.
	started bool
}

// take handles the next part of the response. done reports whether it was the last, and failure is
// the outcome of a request that failed.
func (r *delegatedResponse) take(msg *peerv1.DelegateResponse) (done bool, failure *outcome.Error) {
	switch {
	case msg.GetFinal() != nil:
		failure = claims.DecodeFinal(msg.GetFinal())
		if failure == nil && !r.started {
			failure = passPlain(r.sink, r.head, r.plain)
		}
		return true, failure
	case msg.GetHead() != nil:
		r.head = msg.GetHead()
		// Peers of earlier versions pass on any status of an endpoint.
		if status := int(r.head.GetStatus()); !responsehead.IsFinalStatus(status) {
			return true, outcome.MayHaveRunf(outcome.CodeDelegateLost, "the peer sent an invalid status: %d", status)
		}
		return false, nil
	case r.head == nil:
		return true, outcome.MayHaveRunf(outcome.CodeDelegateLost, "the peer sent data before the head")
	case r.started || isEventStream(r.head):
		return r.pass(msg.GetData())
	}
	r.plain = append(r.plain, msg.GetData()...)
	if len(r.plain) <= maxPlainBytes && r.memory.Resize(int64(cap(r.plain))) {
		return false, nil
	}
	plain := r.plain
	r.plain = nil
	r.memory.Release()
	return r.pass(plain)
}

// pass passes on a part of the response.
func (r *delegatedResponse) pass(data []byte) (done bool, failure *outcome.Error) {
	if !r.started {
		if !r.mayBegin() {
			return true, outcome.MayHaveRunf(outcome.CodeStopping, "the entry is stopping")
		}
		r.started = true
		r.sink.Start(int(r.head.GetStatus()), decodeHeaders(r.head.GetHeaders()), -1)
	}
	if r.sink.Data(data) != nil {
		return true, outcome.New(outcome.Incomplete, outcome.CodeCallerGone, "the caller has gone")
	}
	r.sink.Flush()
	return false, nil
}

// passPlain passes on a response that came whole.
func passPlain(sink job.HeaderSink, head *peerv1.DelegateHead, body []byte) *outcome.Error {
	if head == nil {
		return outcome.MayHaveRunf(outcome.CodeDelegateLost, "the peer sent no response")
	}
	sink.Start(int(head.GetStatus()), decodeHeaders(head.GetHeaders()), int64(len(body)))
	// A caller that has gone doesn't change the outcome of a request that ran.
	_ = sink.Data(body)
	return nil
}

// delegationError returns the outcome of a call that ended without one.
func delegationError(err error, connected, started bool) *outcome.Error {
	switch {
	case started:
		return outcome.New(outcome.Incomplete, outcome.CodeDelegateLost, "delegate: %v", err)
	case !connected, connect.CodeOf(err) == connect.CodeUnimplemented, connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeResourceExhausted:
		return outcome.NotRunf(outcome.CodeDelegateLost, "delegate: %v", err)
	}
	return outcome.MayHaveRunf(outcome.CodeDelegateLost, "delegate: %v", err)
}

func isEventStream(head *peerv1.DelegateHead) bool {
	return head.GetStatus() == http.StatusOK && strings.HasPrefix(decodeHeaders(head.GetHeaders()).Get("Content-Type"), httpapi.ContentEvents)
}
