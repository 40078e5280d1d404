package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// oddServer answers each request, and each call for its report, with the next of some texts.
type oddServer struct {
	address string

	mu             sync.Mutex
	heads, reports []string
	answered       int
	reported       int
}

func newOddServer(t *testing.T, heads, reports []string) *oddServer {
	l := freeport.Listen(t)
	s := &oddServer{address: l.Addr().String(), heads: heads, reports: reports}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *oddServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if _, err := io.WriteString(c, s.answer(req)); err != nil {
			return
		}
	}
}

func (s *oddServer) answer(req *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": " + req.Header.Get(platform.HeaderRequestID) + "\r\n"
	if req.URL.Path == platform.PathReport {
		body := s.reports[s.reported%len(s.reports)]
		s.reported++
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	odd := s.heads[s.answered%len(s.heads)]
	s.answered++
	if strings.HasPrefix(odd, platform.HeaderRetryAfter) {
		head = strings.Replace(head, "200 OK", "503 Service Unavailable", 1) + platform.HeaderNotRun + ": 1\r\n"
	}
	if !strings.HasPrefix(odd, "Content-Length") {
		odd += "\r\nContent-Length: 0"
	}
	return head + platform.HeaderSignature + ": s\r\n" + odd + "\r\n\r\n"
}

// through reports whether all texts were given.
func (s *oddServer) through() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered >= len(s.heads) && s.reported >= len(s.reports)
}

// TestNoOddAnswerEndsAProcess guards against heads and reports of a server that end a gateway, or keep it from another.
func TestNoOddAnswerEndsAProcess(t *testing.T) {
	o := newOddWorld(t, "-poll-every", "10ms", "-poll-idle", "10ms", "-poll-pressed", "10ms")
	odd := newOddServer(t, standin.OddHeads(), standin.OddReports())
	c := standin.Configuration{Version: 2, Engines: []string{"engine"}, Services: []string{"desk", "odd"}, Workspaces: map[string][]string{"w": {apiKey}}}
	for _, name := range []string{"desk", "odd", "engine"} {
		kind := standin.Safe
		if name == "engine" {
			kind = standin.Stream
		}
		c.Routes = append(c.Routes, standin.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Target: name, Attempts: 1, Timeout: callerTimeout, Objective: callerTimeout})
	}
	o.put(platform.ConfigurationKey, c.Encode())
	client := &http.Client{Transport: &http.Transport{}, Timeout: callerTimeout}
	for n, end := 0, time.Now().Add(readyTimeout); !odd.through(); n++ {
		if time.Now().After(end) {
			t.Fatalf("%d of %d heads, %d of %d reports", odd.answered, len(odd.heads), odd.reported, len(odd.reports))
		}
		if n%2 == 0 {
			// What one life has said doesn't keep requests from the next.
			for _, service := range []string{"odd", "engine"} {
				o.store.Put(platform.EndpointPrefix+service+"-odd", standin.RecordWith(service, odd.address, now()+uint64(n), nil))
			}
		}
		for _, g := range o.gateways {
			req := g.request(g.nextID(), "/odd/x")
			req.Header.Set(platform.HeaderWait, "100")
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
	}
	o.followed(t, "after odd answers", "desk")
	o.expectRunning(t)
}
