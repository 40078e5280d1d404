package engineclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// TestNothingOfAnInvalidHeadIsBelieved guards against answers, refusals and leaves of heads that aren't HTTP.
func TestNothingOfAnInvalidHeadIsBelieved(t *testing.T) {
	const own = engineapi.HeaderRequestID + ": r\r\n" + engineapi.HeaderDraining + ": 1\r\n"
	const inner = "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 5\r\n\r\ninner"
	answers := map[string]string{
		"refusal":       "HTTP/1.1 503 Full\r\n" + own + engineapi.HeaderNotRun + ": 1\r\nX Part: a\r\nContent-Length: 0\r\n\r\n",
		"informational": "HTTP/1.1 103 Hints\r\nX Part: a\r\n\r\n" + inner,
	}
	for _, line := range []string{"X Part: a", "X-Part : a", "Content-Length : 3", "Transfer-Encoding : chunked", "X\x01: a", ": a"} {
		answers[line] = "HTTP/1.1 200 OK\r\n" + own + line + "\r\n\r\n4\r\npart\r\n0\r\n\r\n"
	}
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		answers[status] = fmt.Sprintf("HTTP/1.1 %s Status\r\n%sContent-Length: %d\r\n\r\n%s", status, own, len(inner), inner)
	}
	answers["HTTP/2.7"] = "HTTP/2.7 200 OK\r\n" + own + "Content-Length: 2\r\n\r\nok"
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := freeport.Serve(t, func(c *net.TCPConn) {
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, text)
				}
			})
			client := New(func(_ fleet.Endpoint, s Said) { t.Errorf("believed: %+v", s) })
			to := fleet.Endpoint{ID: "e", Address: address}
			_, call := client.Call(t.Context(), to, "r", http.MethodPost, "/", "", []byte("x"))
			_, start := client.Start(t.Context(), to, "r", &engineapi.CompletionRequest{})
			g.Expect(call).NotTo(BeNil())
			g.Expect(call.Kind).To(Equal(retry.ProtocolError))
			g.Expect(start).NotTo(BeNil())
			g.Expect(start.Kind).To(Equal(retry.ProtocolError))
		})
	}
}
