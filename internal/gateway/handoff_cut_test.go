package gateway_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform"
)

// restEvents is the length of the streams whose rests are cut.
const restEvents = 100

// cutRests answers the rest of stream n, whose ID ends with that, with what text says, and closes the connection
// after n bytes. moved is told of each.
func cutRests(reset bool, text func(id string, last int) string, moved func(id string)) wrapper {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(platform.HeaderRequestID)
			if r.Header.Get(platform.HeaderCopy) == "" || id == "" {
				next.ServeHTTP(w, r)
				return
			}
			last, _ := strconv.Atoi(r.Header.Get(platform.HeaderResumeFrom))
			n, _ := strconv.Atoi(id[strings.LastIndex(id, "-")+1:])
			moved(id)
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err) // Servers of HTTP/1.1 can be hijacked.
			}
			defer c.Close()
			all := text(id, last)
			_, _ = io.WriteString(c, all[:min(n, len(all)-1)])
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
	}
}

// TestARestCutAtAnyByteEndsNoStream guards against streams that end as whole although their rest broke off.
func TestARestCutAtAnyByteEndsNoStream(t *testing.T) {
	const engines, streams = 28, 192
	head := func(id string) string {
		return "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": " + id + "\r\n" + platform.HeaderSignature + ": s\r\nContent-Type: text/event-stream\r\n"
	}
	for name, text := range map[string]func(id string, last int) string{
		"with length": func(id string, last int) string {
			rest := eventsAfter(id, last, restEvents)
			return head(id) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(rest)) + rest
		},
		"in chunks": func(id string, last int) string {
			rest := eventsAfter(id, last, restEvents)
			return head(id) + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
		},
		"unframed": func(id string, last int) string {
			return head(id) + "\r\n" + eventsAfter(id, last, restEvents)
		},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t)
				for i := range w.config.Routes {
					// None is refused as too late on a busy machine.
					w.config.Routes[i].Objective = w.config.Routes[i].Timeout
				}
				w.publish()
				var mu sync.Mutex
				moved := map[string]bool{}
				wrap := cutRests(reset, text, func(id string) {
					mu.Lock()
					defer mu.Unlock()
					moved[id] = true
				})
				for i := range engines {
					e := w.endpoint(fmt.Sprintf("engine-%d", i), "engine")
					e.Events, e.Every = restEvents, 100*time.Millisecond
				}
				sources := slices.Collect(maps.Values(w.endpoints))
				e := w.start(w.settings("vm-1")).waitReady()
				answers := make([]answer, streams)
				var all sync.WaitGroup
				for n := range answers {
					all.Go(func() { answers[n] = e.stream(fmt.Sprintf("r-%d", n)) })
				}
				w.g.Eventually(func() (running int) {
					for _, source := range sources {
						running += source.Running()
					}
					return running
				}, eventually).Should(BeNumerically(">", streams/2))
				for i := range engines {
					w.wrapped(fmt.Sprintf("target-%d", i), wrap)
				}
				w.awaitAnnounced()
				for _, source := range sources {
					w.announce(source, "engine", true)
				}
				all.Wait()
				for n, a := range answers {
					id := fmt.Sprintf("r-%d", n)
					if a.status == http.StatusServiceUnavailable && len(w.ledger.Of(id)) == 0 {
						continue
					}
					w.g.Expect(a.status).To(Equal(http.StatusOK), id)
					w.g.Expect(events(id, restEvents)).To(HavePrefix(a.body), id)
					w.g.Expect(a.body).To(Or(BeEmpty(), HaveSuffix("\n\n")), id)
					runs := w.ledger.Of(id)
					w.g.Expect(runs).To(HaveLen(1), "%s isn't run again", id)
					// A connection that ends well between two events ends a stream without a length.
					if moved[id] && (name != "unframed" || reset) {
						w.g.Expect(a.err).To(HaveOccurred(), id)
					}
					// Those that began late have the shorter streams of the targets.
					if !moved[id] && a.err == nil && strings.HasPrefix(runs[0].Endpoint, "engine") {
						w.g.Expect(a.body).To(Equal(events(id, restEvents)), id)
					}
				}
				t.Logf("%d of %d rests were cut", len(moved), len(answers))
				w.g.Expect(moved).NotTo(BeEmpty())
			})
		}
	}
}
