package engineclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// TestAReplyThatIsResetDuringItsUploadIsNotWhole guards against parts of replies without a length taken for whole ones.
func TestAReplyThatIsResetDuringItsUploadIsNotWhole(t *testing.T) {
	const (
		calls = 30
		head  = "HTTP/1.1 200 OK\r\n" + engineapi.HeaderRequestID + ": r\r\n"
		part  = head + "\r\npart"
		delay = 50 * time.Millisecond
	)
	reset := func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }
	lateReset := func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(delay)
		_ = c.SetLinger(0)
	}
	for name, tc := range map[string]struct {
		reply string
		// end ends the connection before it is closed; readFirst says that the upload is read before the reply.
		end       func(c *net.TCPConn, rest io.Reader)
		readFirst bool
		whole     bool
	}{
		"late reset":              {reply: part, end: lateReset},
		"immediate reset":         {reply: part, end: reset},
		"close with unread bytes": {reply: part, end: func(*net.TCPConn, io.Reader) {}},
		"length, late reset":      {reply: head + "Content-Length: 4\r\n\r\npart", end: lateReset, whole: true},
		"FIN after the upload":    {reply: part, end: func(*net.TCPConn, io.Reader) {}, readFirst: true, whole: true},
		"half-close, then read on": {reply: part, whole: true, end: func(c *net.TCPConn, rest io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := freeport.Serve(t, func(c *net.TCPConn) {
				r := bufio.NewReader(c)
				req, err := http.ReadRequest(r)
				if err == nil && tc.readFirst {
					_, err = io.Copy(io.Discard, req.Body)
				}
				if err == nil {
					_, _ = io.WriteString(c, tc.reply)
					tc.end(c, r)
				}
			})
			client := New(nil)
			for range calls {
				reply, f := client.Call(t.Context(), fleet.Endpoint{ID: "e", Address: address}, "r", http.MethodPost, "/", "", make([]byte, 4<<20))
				if tc.whole {
					g.Expect(f).To(BeNil())
					g.Expect(reply.Body).To(BeEquivalentTo("part"))
					continue
				}
				g.Expect(f).NotTo(BeNil(), "%+v", reply)
				g.Expect(f.Kind).To(Equal(retry.LinkLost))
			}
		})
	}
}
