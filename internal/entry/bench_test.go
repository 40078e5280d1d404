package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/logging"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/platform"
	platformstandin "github.com/bridgehoist/bridgehoist/platform/standin"
)

// fastEngine streams as many tokens as max_tokens asks for, without a pause.
func fastEngine() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req engineapi.CompletionRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		w.Header().Set("Content-Type", httpapi.ContentEvents)
		w.Header().Set(engineapi.HeaderGeneration, "g")
		w.Header().Set(engineapi.HeaderIncarnation, "1")
		flusher := http.NewResponseController(w)
		reason := engineapi.FinishStop
		for i := range req.MaxTokens + 1 {
			c := engineapi.Chunk{ID: "g", Incarnation: 1, RequestID: r.Header.Get(engineapi.HeaderRequestID), Index: i,
				Choices: []engineapi.Choice{{Text: "token "}}}
			if i == req.MaxTokens {
				c.Choices[0] = engineapi.Choice{FinishReason: &reason}
			}
			data, _ := json.Marshal(c)
			fmt.Fprintf(w, "data: %s\n\n", data)
			_ = flusher.Flush()
		}
		fmt.Fprintf(w, "data: %s\n\n", engineapi.DoneData)
	}))
}

// startEntry runs an entry before some engines and returns its callers' address.
func startEntry(tb testing.TB, engines ...string) string {
	address, _ := startEntryWith(tb, nil, engines...)
	return address
}

// startEntryWith is startEntry with flags; stop begins a planned stop.
func startEntryWith(tb testing.TB, flags []string, engines ...string) (address string, stop func()) {
	e := newEntry(tb, flags, engines...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		<-done
	})
	for !e.ready() {
		time.Sleep(time.Millisecond)
	}
	return e.cfg.Listen, cancel
}

func newEntry(tb testing.TB, flags []string, engines ...string) *Entry {
	sum := sha256.Sum256([]byte("key"))
	peer := freeport.Address(tb)
	var endpoints []fleet.Endpoint
	for i, address := range engines {
		endpoints = append(endpoints, fleet.Endpoint{ID: fmt.Sprintf("engine-%d", i), Type: fleet.Engine, DataCenter: "hall", Address: address, Targets: []string{"m"},
			Incarnation: 1, State: fleet.Live, CapacityTokens: 1 << 30, MaxRunning: 1 << 20})
	}
	list, _ := json.Marshal(fleet.List{
		VMs:        []fleet.VM{{ID: "e", Role: fleet.RoleEntry, DataCenter: "hall", Peer: peer, State: fleet.Live}},
		Endpoints:  endpoints,
		Workspaces: []fleet.Workspace{{Name: "w", KeysSHA256: []string{hex.EncodeToString(sum[:])}}},
	})
	p := platformstandin.New()
	p.Put(platform.OwnPrefix+published.Fleet, list)
	p.Put(platform.OwnPrefix+published.Table, []byte(`workspace,kind,target,weight,priority,max_in_flight,max_queued,max_queue_time,timeout,idempotent
*,k,m,1,1,100000,100000,1h,2h,yes
`))
	platform := httptest.NewServer(p.Handler())
	tb.Cleanup(platform.Close)
	cfg := Config{}
	set := settings.New("test")
	cfg.Register(set)
	args := []string{"-vm", "e", "-data-center", "hall", "-listen", freeport.Address(tb), "-peer", peer, "-operator", freeport.Address(tb),
		"-platform", platform.URL, "-drain-delay", "0s", "-handover-linger", "0s"}
	args = append(args, flags...)
	if err := set.Read(args); err != nil {
		tb.Fatal(err)
	}
	cfg.Check(set)
	if err := set.Err(); err != nil {
		tb.Fatal(err)
	}
	e, err := New(cfg, logging.Discard())
	if err != nil {
		tb.Fatal(err)
	}
	return e
}

func stream(b *testing.B, address string, tokens int) {
	body, _ := json.Marshal(engineapi.CompletionRequest{Model: "m", Prompt: "p", MaxTokens: tokens, Stream: true})
	req, _ := http.NewRequest(http.MethodPost, "http://"+address+httpapi.PathCompletions, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set(httpapi.HeaderKind, "k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || strings.Count(string(data), "token ") != tokens {
		b.Fatalf("%v, %d bytes, status %d", err, len(data), resp.StatusCode)
	}
}

// BenchmarkToken compares the cost of a token through an entry with that of a
// direct connection: ns/op is per token.
func BenchmarkToken(b *testing.B) {
	engine := fastEngine()
	defer engine.Close()
	direct := strings.TrimPrefix(engine.URL, "http://")
	entry := startEntry(b, direct)
	for _, c := range []struct{ name, address string }{{"direct", direct}, {"entry", entry}} {
		b.Run(c.name, func(b *testing.B) { stream(b, c.address, b.N) })
	}
}

// BenchmarkRequest compares whole requests with one token.
func BenchmarkRequest(b *testing.B) {
	engine := fastEngine()
	defer engine.Close()
	direct := strings.TrimPrefix(engine.URL, "http://")
	entry := startEntry(b, direct)
	for _, c := range []struct{ name, address string }{{"direct", direct}, {"entry", entry}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				stream(b, c.address, 1)
			}
		})
	}
}
