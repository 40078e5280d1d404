package engineclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// inChunks returns a body in two chunks.
func inChunks(body string) string {
	half := len(body) / 2
	return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
}

// TestAnAnswerCutAtAnyByteIsALostLink guards against parts of answers that count as whole, or as malformed.
func TestAnAnswerCutAtAnyByteIsALostLink(t *testing.T) {
	const (
		generation = `data: {"id":"g","request_id":"r","incarnation":1,"index":0,"choices":[{"text":"t","finish_reason":null}]}` + "\n\n" +
			`data: {"id":"g","request_id":"r","incarnation":1,"index":1,"choices":[{"text":"","finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
		ok = "HTTP/1.1 200 OK\r\n" + engineapi.HeaderRequestID + ": r\r\n" + engineapi.HeaderGeneration + ": g\r\n"
	)
	call := func(c *Client, e fleet.Endpoint) (whole bool, f *attempt.Failure) {
		_, f = c.Call(context.Background(), e, "r", http.MethodPost, "/", "", []byte("x"))
		return f == nil, f
	}
	generate := func(c *Client, e fleet.Endpoint) (whole bool, f *attempt.Failure) {
		s, f := c.Start(context.Background(), e, "r", &engineapi.CompletionRequest{})
		if f == nil {
			f = s.Each(func(e Event) bool { whole = whole || e.Chunk.Final; return true })
		}
		return whole, f
	}
	const chunked, reply = "Transfer-Encoding: chunked\r\n\r\n", "reply"
	for name, tc := range map[string]struct {
		answer string
		// last begins the last bytes without which an answer isn't whole.
		last string
		ask  func(c *Client, e fleet.Endpoint) (whole bool, f *attempt.Failure)
	}{
		"call with length": {ok + "Content-Length: 5\r\n\r\n" + reply, "y", call},
		"call in chunks":   {ok + chunked + inChunks(reply), "\n", call},
		"stream in chunks": {ok + chunked + inChunks(generation), "stop", generate},
		"unframed stream":  {ok + "\r\n" + generation, "stop", generate},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				g := NewWithT(t)
				var end atomic.Int64
				address := freeport.Serve(t, func(c *net.TCPConn) {
					req, err := http.ReadRequest(bufio.NewReader(c))
					if err == nil {
						_, _ = io.Copy(io.Discard, req.Body)
						_, _ = io.WriteString(c, tc.answer[:end.Load()])
					}
					if reset {
						_ = c.SetLinger(0)
					}
				})
				client := New(nil)
				for at := range len(tc.answer) {
					end.Store(int64(at))
					whole, f := tc.ask(client, fleet.Endpoint{ID: "e", Address: address})
					if whole {
						g.Expect(at).To(BeNumerically(">", strings.LastIndex(tc.answer, tc.last)), "%q", tc.answer[:at])
						continue
					}
					g.Expect(f).NotTo(BeNil(), "%q", tc.answer[:at])
					g.Expect(f.Kind).To(Equal(retry.LinkLost), "%q: %v", tc.answer[:at], f.Err)
				}
			})
		}
	}
}
