package peering

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// recorded returns the bytes of the response of a peer that serves a delegated request by h.
func recorded(t *testing.T, h DelegateHandler) []byte {
	server := serveDelegated(t, h)
	response := make(chan []byte, 1)
	_, _ = delegateTo(freeport.Serve(t, func(c *net.TCPConn) {
		to, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			return
		}
		defer to.Close()
		go func() { _, _ = io.Copy(to, c) }()
		var all bytes.Buffer
		_, _ = io.Copy(io.MultiWriter(c, &all), to)
		response <- all.Bytes()
	}))
	return <-response
}

// TestAResponseOfAPeerCutAtAnyByteIsNotWhole guards against parts of delegated responses that are taken for whole.
func TestAResponseOfAPeerCutAtAnyByteIsNotWhole(t *testing.T) {
	const whole = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
	for name, tc := range map[string]struct {
		contentType string
		failure     *outcome.Error
	}{
		"plain":    {contentType: "text/plain"},
		"stream":   {contentType: "text/event-stream"},
		"refusal":  {failure: outcome.NotRunf(outcome.CodeQueueFull, "full")},
		"may run":  {failure: outcome.MayHaveRunf(outcome.CodeStalled, "stalled")},
		"no final": {contentType: "text/event-stream", failure: outcome.New(outcome.Incomplete, outcome.CodeStalled, "stalled")},
	} {
		response := recorded(t, func(_ string, w http.ResponseWriter, _ *http.Request) *outcome.Error {
			if tc.contentType != "" {
				w.Header().Set("Content-Type", tc.contentType)
				for part := range 2 {
					_, _ = w.Write([]byte(whole[part*len(whole)/2 : (part+1)*len(whole)/2]))
					w.(http.Flusher).Flush()
				}
			}
			return tc.failure
		})
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var end atomic.Int64
				complete := 0
				address := freeport.Serve(t, func(c *net.TCPConn) {
					req, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = c.Write(response[:end.Load()])
					if reset {
						_ = c.SetLinger(0)
					}
				})
				for at := range len(response) + 1 {
					end.Store(int64(at))
					w, err := delegateTo(address)
					switch {
					case err == nil:
						complete++
						g.Expect(tc.failure).To(BeNil(), "after %d bytes", at)
						g.Expect(w.Body.String()).To(Equal(whole), "after %d bytes", at)
					case err.Outcome == outcome.NotRun:
						g.Expect(tc.failure).NotTo(BeNil(), "after %d bytes", at)
						g.Expect(err.Code).To(Equal(tc.failure.Code), "after %d bytes", at)
					case w.Body.Len() > 0:
						g.Expect(err.Outcome).To(Equal(outcome.Incomplete), "after %d bytes", at)
						g.Expect(whole).To(HavePrefix(w.Body.String()), "after %d bytes", at)
					default:
						g.Expect(err.Outcome).To(Or(Equal(outcome.MayHaveRun), Equal(outcome.Incomplete)), "after %d bytes", at)
					}
				}
				g.Expect(complete > 0).To(Equal(tc.failure == nil), "the whole response is")
				t.Logf("%d cuts, %d of them behind the final part", len(response)+1, complete)
			})
		}
	}
}
