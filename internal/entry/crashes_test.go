package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// crashPrompt ends every engine that runs it.
const crashPrompt = "crash"

// fragileEngine serves as fastEngine does and ends under crashPrompt, which it counts.
func fragileEngine(t *testing.T, ends *atomic.Int32) string {
	inner := fastEngine()
	t.Cleanup(inner.Close)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if bytes.Contains(body, []byte(crashPrompt)) {
			ends.Add(1)
			_ = server.Listener.Close()
			server.CloseClientConnections()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		inner.Config.Handler.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { server.CloseClientConnections() })
	return strings.TrimPrefix(server.URL, "http://")
}

// complete asks for a completion and returns its status and body.
func complete(g *WithT, address, prompt string) (int, string) {
	body, _ := json.Marshal(engineapi.CompletionRequest{Model: "m", Prompt: prompt, MaxTokens: 1, Stream: true})
	req, _ := http.NewRequest(http.MethodPost, "http://"+address+httpapi.PathCompletions, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set(httpapi.HeaderKind, "k")
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// TestARequestThatCrashesEngines is contained on our own interface too.
func TestARequestThatCrashesEngines(t *testing.T) {
	g := NewWithT(t)
	var ends atomic.Int32
	var engines []string
	for range 10 {
		engines = append(engines, fragileEngine(t, &ends))
	}
	address := startEntry(t, engines...)
	answers := ""
	for range 12 {
		_, body := complete(g, address, crashPrompt)
		answers += body
		time.Sleep(100 * time.Millisecond)
	}
	g.Expect(answers).To(ContainSubstring("quarantined"))
	g.Expect(ends.Load()).To(BeNumerically(">=", quarantine.ContainmentThreshold))
	// One request goes to three engines by itself, since its kind may be repeated; a second
	// one may be under way when that is known.
	g.Expect(ends.Load()).To(BeNumerically("<=", 2*quarantine.ContainmentThreshold))
	status, body := complete(g, address, "innocent")
	g.Expect(status).To(Equal(http.StatusOK), body)
}
