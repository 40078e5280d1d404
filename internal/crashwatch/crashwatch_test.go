package crashwatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/crashwatch"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// scene is an endpoint as a watcher sees it, and what the watcher told.
type scene struct {
	mu       sync.Mutex
	presence upstream.Presence
	expected bool
	over     bool
	looks    int
	told     []string
}

func (s *scene) look(context.Context, fleet.Endpoint) upstream.Presence {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.looks++
	return s.presence
}

func (s *scene) set(change func(*scene)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *scene) watcher() *crashwatch.Watcher {
	read := func(b *bool) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return *b
	}
	return crashwatch.New(crashwatch.Config{
		Look:     s.look,
		Expected: func(fleet.Endpoint) bool { return read(&s.expected) },
		Over:     func(fleet.Endpoint) bool { return read(&s.over) },
		OnEnded: func(_ crashwatch.End, under []crashwatch.Run) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, run := range under {
				s.told = append(s.told, run.RequestID)
			}
		},
	})
}

var engine = fleet.Endpoint{ID: "engine-1", Address: "127.0.0.1:1", Incarnation: 7}

// longest is longer than a case is kept.
const longest = 10 * time.Second

func TestCases(t *testing.T) {
	cases := map[string]struct {
		scene *scene
		later func(*scene)
		told  []string
	}{
		"the process is gone":                  {&scene{presence: upstream.Ended}, nil, []string{"r1", "r2", "late"}},
		"it can't be seen, then it is gone":    {&scene{}, func(s *scene) { s.presence = upstream.Ended }, []string{"r1", "r2", "late"}},
		"it started again at once":             {&scene{presence: upstream.Listening}, func(s *scene) { s.over = true }, []string{"r1", "r2", "late"}},
		"only the connection broke":            {&scene{presence: upstream.Listening}, nil, nil},
		"it is silent":                         {&scene{}, nil, nil},
		"it was known to leave":                {&scene{presence: upstream.Ended, expected: true}, nil, nil},
		"it left, and its next life came":      {&scene{expected: true}, func(s *scene) { s.expected, s.over = false, true }, []string{"late"}},
		"it ends, and its leave is told later": {&scene{}, func(s *scene) { s.presence, s.expected = upstream.Ended, true }, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := c.scene
				w := s.watcher()
				w.Broken(t.Context(), engine, crashwatch.Run{RequestID: "r1"})
				w.Broken(t.Context(), engine, crashwatch.Run{RequestID: "r2"})
				time.Sleep(100 * time.Millisecond)
				if c.later != nil {
					s.set(c.later)
				}
				time.Sleep(time.Second)
				w.Broken(t.Context(), engine, crashwatch.Run{RequestID: "late"})
				time.Sleep(longest)
				synctest.Wait()
				g.Expect(s.told).To(Equal(c.told))
				g.Expect(s.looks).To(BeNumerically("<=", 4), "looks are priced")
			})
		})
	}
}

// TestFactsOfALife: what two entries tell of the end of one life is the same, and that of
// its next life is not.
func TestFactsOfALife(t *testing.T) {
	g := NewWithT(t)
	at := time.Now()
	run := crashwatch.Run{RequestID: "r1", Identity: quarantine.IdentityOf("w", "h", "/x", nil), At: at}
	key := func(e fleet.Endpoint, r crashwatch.Run) quarantine.Key {
		return crashwatch.Facts(crashwatch.End{At: e}, []crashwatch.Run{r})[0].Key()
	}
	later := run
	later.RequestID, later.At = "r2", at.Add(time.Second)
	g.Expect(key(engine, later)).To(Equal(key(engine, run)))
	next := engine
	next.Incarnation++
	g.Expect(key(next, run)).NotTo(Equal(key(engine, run)))
}

// TestManyCases: when a network fails, what looks at endpoints is bounded.
func TestManyCases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &scene{presence: upstream.Ended}
		w := s.watcher()
		for i := range 500 {
			e := engine
			e.Incarnation = uint64(i)
			w.Broken(t.Context(), e, crashwatch.Run{RequestID: "r"})
		}
		time.Sleep(longest)
		synctest.Wait()
		g.Expect(s.looks).To(Equal(64))
		w.Broken(t.Context(), engine, crashwatch.Run{RequestID: "r"})
		time.Sleep(longest)
		synctest.Wait()
		g.Expect(s.looks).To(Equal(65), "cases that are over make room")
	})
}

// TestCallersThatLeft: a request may end its endpoint just after its caller has left. It
// counts if something else shows the end, and not if it left long before.
func TestCallersThatLeft(t *testing.T) {
	shows := map[string]func(*crashwatch.Watcher, context.Context){
		"another run breaks off": func(w *crashwatch.Watcher, ctx context.Context) {
			w.Broken(ctx, engine, crashwatch.Run{RequestID: "other"})
		},
		"another request is refused a connection": func(w *crashwatch.Watcher, ctx context.Context) { w.Refused(ctx, engine) },
	}
	for name, show := range shows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &scene{presence: upstream.Ended}
				w := s.watcher()
				for _, id := range []string{"long ago", "left"} {
					w.Left(engine, crashwatch.Run{RequestID: id, At: time.Now()})
					time.Sleep(400 * time.Millisecond)
				}
				show(w, t.Context())
				time.Sleep(longest)
				synctest.Wait()
				g.Expect(s.told).To(ContainElement("left"))
				g.Expect(s.told).NotTo(ContainElement("long ago"))
			})
		})
	}
}

// TestRefusedConnectionsAlone open no case: nothing ran there.
func TestRefusedConnectionsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &scene{presence: upstream.Ended}
		w := s.watcher()
		w.Refused(t.Context(), engine)
		time.Sleep(longest)
		synctest.Wait()
		g.Expect(s.looks).To(BeZero())
	})
}

// TestLivesThatTheListNeverShows: an endpoint starts again and ends before the list tells of
// it. Each end counts; runs that were sent before an end was known count for that one.
func TestLivesThatTheListNeverShows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		marks := map[uint64][]string{}
		w := crashwatch.New(crashwatch.Config{
			Look:     func(context.Context, fleet.Endpoint) upstream.Presence { return upstream.Ended },
			Expected: func(fleet.Endpoint) bool { return false },
			Over:     func(fleet.Endpoint) bool { return false },
			OnEnded: func(e crashwatch.End, under []crashwatch.Run) {
				for _, f := range crashwatch.Facts(e, under) {
					marks[f.EventID] = append(marks[f.EventID], fmt.Sprint(e.Unlisted))
				}
			},
		})
		for range 3 {
			sent := time.Now()
			time.Sleep(100 * time.Millisecond)
			w.Broken(t.Context(), engine, crashwatch.Run{RequestID: "crash", Sent: sent, At: time.Now()})
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			w.Broken(t.Context(), engine, crashwatch.Run{RequestID: "beside", Sent: sent, At: time.Now()})
			time.Sleep(300 * time.Millisecond)
			synctest.Wait()
		}
		g.Expect(marks).To(HaveLen(3))
		g.Expect(marks).To(ConsistOf([]string{"0", "0"}, []string{"1", "1"}, []string{"2", "2"}))
	})
}

// TestEndsThatOthersToldOf: the end that is seen after them is another one, also for who has
// seen none of them.
func TestEndsThatOthersToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &scene{presence: upstream.Ended}
		var ended []int
		w := crashwatch.New(crashwatch.Config{
			Look:     s.look,
			Expected: func(fleet.Endpoint) bool { return false },
			Over:     func(fleet.Endpoint) bool { return false },
			EndsOf:   func(fleet.Instance, time.Time) int { return 2 },
			OnEnded:  func(e crashwatch.End, _ []crashwatch.Run) { ended = append(ended, e.Unlisted) },
		})
		w.Broken(t.Context(), engine, crashwatch.Run{RequestID: "r1", Sent: time.Now()})
		time.Sleep(longest)
		synctest.Wait()
		g.Expect(ended).To(Equal([]int{2}))
	})
}
