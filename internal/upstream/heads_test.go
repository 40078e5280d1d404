package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// TestNothingOfAnInvalidHeadIsBelieved guards against IDs, limits, leaves and refusals of heads that aren't HTTP.
func TestNothingOfAnInvalidHeadIsBelieved(t *testing.T) {
	valid := answer("a", "ok")
	for name, text := range map[string]string{
		"refusal":       "HTTP/1.1 503 Full\r\nOf: a\r\nX Part: a\r\nContent-Length: 0\r\n\r\n",
		"surplus":       "HTTP/1.1 200 OK\r\nOf: b\r\nX-Part : a\r\nContent-Length: 0\r\n\r\n" + valid,
		"informational": "HTTP/1.1 103 Hints\r\nX\tPart: a\r\n\r\n" + valid,
		"status 099":    "HTTP/1.1 099 Status\r\nOf: a\r\n\r\n" + valid,
		"101":           "HTTP/1.1 101 Switching Protocols\r\nOf: a\r\n\r\n" + valid,
		"HTTP/2.7":      "HTTP/2.7 200 OK\r\nOf: a\r\nContent-Length: 2\r\n\r\nok",
		"not whole":     "HTTP/1.1 200 OK\r\nOf: a\r\nX Part",
		"long head":     "HTTP/1.1 200 OK\r\nOf: a\r\n" + strings.Repeat("Field: "+strings.Repeat("x", 1000)+"\r\n", 14) + "X Part: a\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			closed := make(chan struct{})
			p := listen(t, func(c net.Conn, next func() string) {
				next()
				_, _ = io.WriteString(c, text)
				next()
				close(closed)
			})
			pool := upstream.NewPool(protocol{}, upstream.Hooks{Answered: func(_ fleet.Endpoint, _ time.Time, status int, a upstream.Answer) {
				t.Errorf("status %d is believed: %+v", status, a)
			}})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, failure := pool.Do(ctx, p.endpoint, request("a"), upstream.Sending{})
			g.Expect(failure).NotTo(BeNil())
			g.Expect(failure.Kind).To(Equal(retry.ProtocolError))
			g.Expect(ctx.Err()).NotTo(HaveOccurred())
			g.Eventually(closed, "10s").Should(BeClosed(), "the connection is closed")
		})
	}
}

// TestTheHeadAfterASurplusAnswerIsChecked guards against heads that are read along with the answer before.
func TestTheHeadAfterASurplusAnswerIsChecked(t *testing.T) {
	for line, valid := range map[string]bool{"X-Part: a": true, "X-Part : a": false} {
		t.Run(line, func(t *testing.T) {
			g := NewWithT(t)
			p := listen(t, func(c net.Conn, next func() string) {
				next()
				_, _ = io.WriteString(c, answer("b", strings.Repeat("x", 10_000))+strings.Replace(answer("a", "ok"), "Of:", line+"\r\nOf:", 1))
				next()
			})
			resp, failure := newPool().Do(t.Context(), p.endpoint, request("a"), upstream.Sending{})
			if !valid {
				g.Expect(failure).NotTo(BeNil())
				g.Expect(failure.Kind).To(Equal(retry.ProtocolError))
				return
			}
			g.Expect(failure).To(BeNil())
			defer resp.Close()
			g.Expect(resp.Status).To(Equal(http.StatusOK))
			g.Expect(io.ReadAll(resp)).To(BeEquivalentTo("ok"))
		})
	}
}
