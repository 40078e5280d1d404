// Package peering implements the communication between entries: the peer service of an entry, the
// client that calls it, and the state that entries reconcile by gossip.
//
// All state of an endpoint belongs to one instance of it: loads and prompt notices identify the
// instance by its InstanceHash, leaves and reports by its incarnation. State of unlisted
// instances is dropped, so that a stale report can neither make a restarted engine look busy nor
// keep work from it. Only the leave of an instance that is not listed yet is retained.
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
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/owner"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

const (
	// maxMessageBytes bounds a message from a peer. It has room for two published values and the
	// records of a few hundred nodes.
	maxMessageBytes = 8 << 20
	// MaxDocumentBytes bounds one published value in a message, and leaves room for the rest.
	MaxDocumentBytes = maxMessageBytes - 2<<20
	tokenHeader      = "Authorization"
	tokenPrefix      = "Bearer "
)

// MakeJob creates a job from a request that a peer forwarded, with the route from this entry's own
// table.
type MakeJob func(*peerv1.RunRequest) (*job.Job, *outcome.Error)

// Server implements the peer service of an entry.
type Server struct {
	clusterState *ClusterState
	store        *published.Store
	owner        *owner.Owner
	makeJob      MakeJob
	traffic      *Traffic
	largeDocs    largeDocuments
	// delegated serves delegated requests; nil if none are accepted.
	delegated DelegateHandler
	// admit decides whether a delegated request is served; nil if all are.
	admit func() (release func(), refusal *outcome.Error)
	// open ends the forwarded requests whose response hasn't begun.
	open context.Context
	// delegations are the delegated requests that are being served.
	delegations delegations
	// memory bounds what is held of calls; nil is unlimited.
	memory *membudget.Budget
}

var _ peerv1connect.PeerServiceHandler = (*Server)(nil)

// NewServer returns a server. If o is nil, it serves Exchange only.
func NewServer(cs *ClusterState, s *published.Store, o *owner.Owner, m MakeJob, t *Traffic) *Server {
	return &Server{clusterState: cs, store: s, owner: o, makeJob: m, traffic: t, open: context.Background()}
}

// EndForwarded makes the forwarded requests whose response hasn't begun end with open, and with its cause. It must be
// called before Handler.
func (s *Server) EndForwarded(open context.Context) { s.open = open }

// LimitMemory sets the budget for what is held of calls. It must be called before Handler.
func (s *Server) LimitMemory(b *membudget.Budget) { s.memory = b }

// Handler returns the HTTP handler of the service. With a non-empty token it refuses calls without
// this bearer token.
func (s *Server) Handler(token string) http.Handler {
	mux := http.NewServeMux()
	path, h := peerv1connect.NewPeerServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressBytes), decompressWithin(s.memory), decodeWithin(s.memory), withoutJSON())
	mux.Handle(path, requireToken(token, limitBodies(s.largeDocs.trackResponses(h), s.memory)))
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

// Exchange implements peerv1connect.PeerServiceHandler. It merges the caller's state and, unless
// the request only pushes, responds with the state that the caller lacks and the keys of the state
// that this entry requests.
func (s *Server) Exchange(ctx context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	now := clock.Now()
	msg := req.Msg
	s.traffic.Received(msg)
	offerDocuments(now, s.store, msg.GetDocuments(), msg.GetFromVm())
	s.clusterState.Merge(now, msg.GetRecords())
	s.clusterState.guard.AddAll(decodeFacts(now, msg.GetRequestFacts()), decodePartFacts(now, msg.GetPartFacts()))
	resp := &peerv1.ExchangeResponse{}
	if !msg.GetPushOnly() {
		s.fillResponse(ctx, msg, resp)
	}
	s.traffic.Sent(resp)
	return connect.NewResponse(resp), nil
}

func (s *Server) fillResponse(ctx context.Context, msg *peerv1.ExchangeRequest, resp *peerv1.ExchangeResponse) {
	now := clock.Now()
	scope := membership.Scope(msg.GetDataCenter())
	if msg.GetAll() {
		scope = ""
	}
	s.clusterState.WithView(func(v *membership.View) {
		v.MergeHeartbeats(now, msg.GetDigests())
		a := v.Respond(now, msg.GetDigests(), scope)
		resp.Digests, resp.Records, resp.WantedNodes = a.Digests, a.Records, a.Wanted
	})
	missing, wanted := s.clusterState.guard.Compare(decodeKeys(msg.GetRequestFactKeys()))
	resp.RequestFacts, resp.WantedRequestFacts = encodeFacts(now, missing), encodeKeys(wanted)
	missingParts, wantedParts := s.clusterState.guard.ComparePartFacts(decodeKeys(msg.GetPartFactKeys()))
	resp.PartFacts, resp.WantedPartFacts = encodePartFacts(now, missingParts), encodeKeys(wantedParts)
	peerRevisions := map[string]revision.ID{}
	for _, d := range msg.GetDocumentDigests() {
		peerRevisions[d.GetName()] = revision.ID(d.GetRevision())
	}
	resp.Documents = s.largeDocs.limitInFlight(ctx, encodeDocuments(now, s.store.NewerThan(peerRevisions, msg.GetTakesChanges())))
	localRevisions := s.store.SeenRevisions()
	for name, peerRevision := range peerRevisions {
		if peerRevision > localRevisions[name] && s.largeDocs.shouldRequest(now, name, localRevisions[name]) {
			resp.WantedDocuments = append(resp.WantedDocuments, name)
			resp.WantedSince = append(resp.WantedSince, uint64(localRevisions[name]))
		}
	}
}

func offerDocuments(now time.Time, store *published.Store, docs []*peerv1.Document, from string) {
	for _, d := range docs {
		store.OfferFromPeer(now, decodeDocument(now, d), from)
	}
}

// Run implements peerv1connect.PeerServiceHandler. It serves a request with a ticket of this entry
// and streams the response, with the outcome as its last message.
func (s *Server) Run(ctx context.Context, req *connect.Request[peerv1.RunRequest], stream *connect.ServerStream[peerv1.RunResponse]) error {
	if s.owner == nil {
		return errTicketsDisabled()
	}
	sink := &rpcSink{stream: stream}
	stop := sink.startHeartbeats(ctx)
	final := s.run(ctx, req.Msg, sink)
	stop()
	return sink.send(&peerv1.RunResponse{Part: &peerv1.RunResponse_Final{Final: claims.EncodeFinal(final)}})
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
	ctx, release := shutdown.Abortable(ctx, s.open)
	defer release()
	return s.owner.ServeForwarded(ctx, t, j, sink)
}

// rpcSink streams a response to the calling entry.
type rpcSink struct {
	mu     sync.Mutex
	stream *connect.ServerStream[peerv1.RunResponse]
}

func (s *rpcSink) send(msg *peerv1.RunResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Send(msg)
}

// startHeartbeats sends heartbeats, the first immediately, until stop is called.
func (s *rpcSink) startHeartbeats(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	heartbeat := &peerv1.RunResponse{Part: &peerv1.RunResponse_Heartbeat{Heartbeat: &peerv1.Heartbeat{}}}
	var wg sync.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(heartbeatInterval)
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
		wg.Wait()
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

// Flush implements job.Sink. It does nothing, as each message is sent immediately.
func (s *rpcSink) Flush() {}

func errTicketsDisabled() error {
	return connect.NewError(connect.CodeUnimplemented, errors.New("this entry gives no tickets"))
}

// Handover implements peerv1connect.PeerServiceHandler. It adopts the caller's tickets and
// publishes the inherited incarnations in the own record.
func (s *Server) Handover(_ context.Context, req *connect.Request[peerv1.HandoverRequest]) (*connect.Response[peerv1.HandoverResponse], error) {
	if s.owner == nil {
		return nil, errTicketsDisabled()
	}
	err := s.owner.Adopt(req.Msg)
	if errors.Is(err, claims.ErrStopping) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s.clusterState.Heartbeat(clock.Now(), s.owner.Inherited())
	return connect.NewResponse(&peerv1.HandoverResponse{}), nil
}
