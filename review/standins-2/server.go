package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// server is a stand-in of a server: a model server that runs so many requests at once and lets a few more
// wait, or a plain service.
type server struct {
	w       *world
	id      string
	service string
	zone    string
	address string
	born    int64
	slots   int
	room    int
	events  int
	every   time.Duration
	prefill time.Duration
	work    time.Duration
	// quiet leaves its requests out of the record.
	quiet bool

	door *door
	// from holds the gateways that requests came from.
	from map[string]*gateway

	// failShare of the requests that it has worked on are answered failStatus; see fails.
	failShare  float64
	failStatus int
	// garble, if set, may answer something else; it reports whether it did.
	garble func(rw http.ResponseWriter, id string) bool
	// limit is what it names as its limit; zero is none.
	limit float64

	places chan struct{}
	mu     sync.Mutex
	// state by request id: when it arrived, began and ended.
	arrived, began, ended map[string]time.Time
	waiting               int
	runs                  map[string]int
}

func (w *world) newServer(host int, id, service, zone string, slots, room int) (*server, error) {
	s := &server{w: w, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: slots, room: room, places: make(chan struct{}, slots),
		arrived: map[string]time.Time{}, began: map[string]time.Time{}, ended: map[string]time.Time{}, runs: map[string]int{}, from: map[string]*gateway{}}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.net, host))
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.serve(l)
	return s, nil
}

func (s *server) serve(l net.Listener) {
	w := s.w
	s.door = &door{Listener: l, w: w, conns: map[net.Conn]*gateway{}}
	h := &http.Server{Handler: s, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, comesFrom{}, s.door.owner(c))
	}}
	d := s.door
	go func() { _ = h.Serve(d) }()
}

// record is what it writes into the store.
func (s *server) record(state string, sequence int) []byte {
	return s.recordAt(s.address, state, sequence)
}

// recordAt is its record with another address.
func (s *server) recordAt(address, state string, sequence int) []byte {
	return []byte(filled(recordText, "SERVICE", s.service, "ADDRESS", address, "ZONE", s.zone, "SLOTS", s.slots, "STATE", state, "SEQUENCE", sequence, "BORN", s.born))
}

func (s *server) publish(st *standin.Store, state string) {
	st.Put(platform.EndpointPrefix+s.id, s.record(state, 1))
	s.w.logf("%s (%s) at %s is %s in the store", s.id, s.service, s.address, state)
}

func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == platform.PathReport {
		s.report(rw)
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	h := rw.Header()
	h.Set(platform.HeaderRequestID, id)
	s.tellLimit(h)
	if want := r.Header.Get(platform.HeaderInstance); want != "" && want != s.id {
		h.Set(platform.HeaderSelf, s.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.note(s.arrived, id)
	if g, _ := r.Context().Value(comesFrom{}).(*gateway); g != nil {
		s.mu.Lock()
		s.from[id] = g
		s.mu.Unlock()
	}
	s.logf("%s: %s arrives", s.id, id)
	if !s.admit(r.Context()) {
		s.logf("%s: %s turned away or gone, not run", s.id, id)
		if r.Context().Err() == nil {
			h.Set(platform.HeaderNotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	defer func() { <-s.places }()
	s.note(s.began, id)
	s.logf("%s: %s begins to run", s.id, id)
	defer func() { s.note(s.ended, id); s.logf("%s: %s ends", s.id, id) }()
	if s.garble != nil && s.garble(rw, id) {
		return
	}
	h.Set(platform.HeaderSignature, s.id+"."+id)
	if r.Header.Get(platform.HeaderTokens) != "" {
		s.stream(rw, r, id)
		return
	}
	if !sleep(r.Context(), s.work) {
		return
	}
	if status := s.failing(); status != 0 {
		rw.WriteHeader(status)
		return
	}
	fmt.Fprintf(rw, "%s %s %s %s", s.service, r.Method, r.RequestURI, body)
}

// names has it name a limit of requests a second in its answers.
func (s *server) names(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

func (s *server) tellLimit(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 {
		h.Set(platform.HeaderLimit, strconv.FormatFloat(s.limit, 'f', 1, 64))
	}
}

// fails has it fail a share of the requests that it has worked on with a status of its own.
func (s *server) fails(share float64, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failShare, s.failStatus = share, status
}

func (s *server) failing() (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rand.Float64() < s.failShare {
		return s.failStatus
	}
	return 0
}

func (s *server) logf(format string, args ...any) {
	if !s.quiet {
		s.w.logf(format, args...)
	}
}

// admit waits for a place; it returns false if there is no room to wait, or the caller has gone.
func (s *server) admit(ctx context.Context) bool {
	select {
	case s.places <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.waiting >= s.room
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *server) stream(rw http.ResponseWriter, r *http.Request, id string) {
	if !sleep(r.Context(), s.prefill) {
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(rw)
	defer func() {
		s.mu.Lock()
		delete(s.runs, id)
		s.mu.Unlock()
	}()
	for n := 1; n <= s.events; n++ {
		s.mu.Lock()
		s.runs[id] = n
		s.mu.Unlock()
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		_ = out.Flush()
		if n < s.events && !sleep(r.Context(), s.every) {
			return
		}
	}
}

func (s *server) report(rw http.ResponseWriter) {
	s.mu.Lock()
	var runs []string
	used := 0
	for id, n := range s.runs {
		runs = append(runs, fmt.Sprintf(`[%q, %d, %d, 5]`, id, 1000+4*n, n))
		used += 1000 + 4*n
	}
	text := filled(reportText, "QUEUED", s.waiting, "ACTIVE", len(s.places), "USED", used, "STATE", "ready", "RUNS", strings.Join(runs, ","), "BORN", s.born)
	s.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(rw, text)
}

func (s *server) note(m map[string]time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := m[id]; !known {
		m[id] = time.Now()
	}
}

func (s *server) at(m map[string]time.Time, id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := m[id]
	return t, ok
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
