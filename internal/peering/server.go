// Package peering is the exchange between entries: the service that each entry
// offers to the others, and the calls that it makes.
//
// What entries tell of endpoints is of one life of each: loads and notices of prompts name
// it by LifeHash, leaves and reports by its incarnation. What is of no listed life is
// dropped, so that late news can't fill an engine that has just started again, nor keep work
// from it. Only a leave of a life that the list doesn't show yet is kept.
package peering

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1/peerv1connect"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/owner"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

const (
	// maxMessageBytes bounds a message from a peer: two published values and
	// the records of a few hundred nodes.
	maxMessageBytes = 8 << 20
	tokenHeader     = "Authorization"
	tokenPrefix     = "Bearer "
)

// MakeJob makes a job from a request that a peer passed on; it finds the row
// in the table of this entry.
type MakeJob func(*peerv1.RunRequest) (*job.Job, *outcome.Error)

// Server is the service that an entry offers to the others.
type Server struct {
	beliefs *Beliefs
	store   *published.Store
	owner   *owner.Owner
	makeJob MakeJob
	traffic *Traffic
	large   largeDocuments
}

var _ peerv1connect.PeerServiceHandler = (*Server)(nil)

// NewServer makes the service. Without an owner it offers the exchange alone.
func NewServer(b *Beliefs, s *published.Store, o *owner.Owner, m MakeJob, t *Traffic) *Server {
	return &Server{beliefs: b, store: s, owner: o, makeJob: m, traffic: t}
}

// Handler serves the service. With a token, calls without it are refused.
func (s *Server) Handler(token string) http.Handler {
	mux := http.NewServeMux()
	path, h := peerv1connect.NewPeerServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressFrom))
	mux.Handle(path, requireToken(token, s.large.handler(h)))
	return mux
}

func requireToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	want := []byte(tokenPrefix + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(tokenHeader)), want) != 1 {
			http.Error(w, "unauthenticated", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Exchange implements the service.
func (s *Server) Exchange(ctx context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	now := clock.Now()
	msg := req.Msg
	s.traffic.Received(msg)
	takeDocuments(now, s.store, msg.GetDocuments(), msg.GetFromVm())
	s.beliefs.Merge(now, msg.GetRecords())
	s.beliefs.guard.Add(factsIn(now, msg.GetRequestFacts())...)
	resp := &peerv1.ExchangeResponse{}
	if !msg.GetPushOnly() {
		s.answer(ctx, msg, resp)
	}
	s.traffic.Sent(resp)
	return connect.NewResponse(resp), nil
}

func (s *Server) answer(ctx context.Context, msg *peerv1.ExchangeRequest, resp *peerv1.ExchangeResponse) {
	now := clock.Now()
	scope := membership.Scope(msg.GetDataCenter())
	if msg.GetAll() {
		scope = ""
	}
	s.beliefs.View(func(v *membership.View) {
		v.Heard(now, msg.GetDigests())
		a := v.Answer(now, msg.GetDigests(), scope)
		resp.Digests, resp.Records, resp.WantedNodes = a.Digests, a.Records, a.Wanted
	})
	missing, wanted := s.beliefs.guard.Compare(keysIn(msg.GetRequestFactKeys()))
	resp.RequestFacts, resp.WantedRequestFacts = factsOut(now, missing), keysOut(wanted)
	theirs := map[string]revision.ID{}
	for _, d := range msg.GetDocumentDigests() {
		theirs[d.GetName()] = revision.ID(d.GetRevision())
	}
	resp.Documents = s.large.bounded(ctx, documentsOut(now, s.store.NewerThan(theirs, msg.GetTakesChanges())))
	ours := s.store.SeenRevisions()
	for name, newest := range theirs {
		if newest > ours[name] && s.large.asks(now, name, ours[name]) {
			resp.WantedDocuments = append(resp.WantedDocuments, name)
			resp.WantedSince = append(resp.WantedSince, uint64(ours[name]))
		}
	}
}

func takeDocuments(now time.Time, store *published.Store, docs []*peerv1.Document, from string) {
	for _, d := range docs {
		store.OfferFromPeer(now, documentIn(now, d), from)
	}
}

// Run implements the service.
func (s *Server) Run(ctx context.Context, req *connect.Request[peerv1.RunRequest], stream *connect.ServerStream[peerv1.RunResponse]) error {
	if s.owner == nil {
		return errNoTickets()
	}
	sink := &rpcSink{stream: stream}
	stop := sink.beat(ctx)
	final := s.run(ctx, req.Msg, sink)
	stop()
	return sink.send(&peerv1.RunResponse{Part: &peerv1.RunResponse_Final{Final: claims.FinalOf(final)}})
}

func (s *Server) run(ctx context.Context, msg *peerv1.RunRequest, sink job.Sink) *outcome.Error {
	t, ok := claims.ParseTicket(msg.GetTicket())
	if !ok {
		return outcome.MayHaveRunf(outcome.CodeTicketInvalid, "the ticket can't be read")
	}
	j, err := s.makeJob(msg)
	if err != nil {
		return err
	}
	return s.owner.ServeForwarded(ctx, t, j, sink)
}

// rpcSink passes an answer to the entry that asked.
type rpcSink struct {
	mu     sync.Mutex
	stream *connect.ServerStream[peerv1.RunResponse]
}

func (s *rpcSink) send(msg *peerv1.RunResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Send(msg)
}

// beat sends heartbeats, the first at once, until stop is called.
func (s *rpcSink) beat(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	heartbeat := &peerv1.RunResponse{Part: &peerv1.RunResponse_Heartbeat{Heartbeat: &peerv1.Heartbeat{}}}
	var done sync.WaitGroup
	done.Go(func() {
		t := time.NewTicker(heartbeatEvery)
		defer t.Stop()
		for s.send(heartbeat) == nil {
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return func() {
		cancel()
		done.Wait()
	}
}

// Header implements job.Sink.
func (s *rpcSink) Header(status int, contentType string) {
	_ = s.send(&peerv1.RunResponse{Part: &peerv1.RunResponse_Header{
		Header: &peerv1.RunHeader{Status: int32(status), ContentType: contentType},
	}})
}

// Data implements job.Sink.
func (s *rpcSink) Data(part []byte) error {
	return s.send(&peerv1.RunResponse{Part: &peerv1.RunResponse_Data{Data: part}})
}

// Flush implements job.Sink; each message is sent at once.
func (s *rpcSink) Flush() {}

func errNoTickets() error {
	return connect.NewError(connect.CodeUnimplemented, errors.New("this entry gives no tickets"))
}

// Handover implements the service.
func (s *Server) Handover(_ context.Context, req *connect.Request[peerv1.HandoverRequest]) (*connect.Response[peerv1.HandoverResponse], error) {
	if s.owner == nil {
		return nil, errNoTickets()
	}
	err := s.owner.Adopt(req.Msg)
	if errors.Is(err, claims.ErrStopping) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s.beliefs.Beat(clock.Now(), s.owner.Inherited())
	return connect.NewResponse(&peerv1.HandoverResponse{}), nil
}
