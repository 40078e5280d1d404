package upstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/scriptedconn"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// testTimeout ends reads that would wait for ever.
const testTimeout = 20 * time.Second

// largeBody isn't written at once.
var largeBody = []byte(strings.Repeat("b", 1<<20))

// readDuringUpload sends a large request on a connection, and calls end once the end of the answer has been read.
func readDuringUpload(ctx context.Context, t *testing.T, c *scriptedconn.Conn, end func()) (body string, err error) {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	pool := newPool()
	pool.Dial = func(context.Context, string) (net.Conn, error) { return c, nil }
	go func() {
		<-c.Answered
		end()
	}()
	r := request("a")
	r.Body = largeBody
	resp, failure := pool.Do(ctx, fleet.Endpoint{ID: "e"}, r, upstream.Sending{})
	if failure != nil {
		t.Fatal(failure)
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	return string(data), err
}

const unframedAnswer = "HTTP/1.1 200 OK\r\nOf: a\r\n\r\npart"

// TestABodyWithoutLengthIsWholeIfItsUploadEndsWell guards against parts of answers whose reset only the writer gets.
func TestABodyWithoutLengthIsWholeIfItsUploadEndsWell(t *testing.T) {
	for name, uploadErr := range map[string]error{"reset": syscall.ECONNRESET, "reset after FIN": syscall.EPIPE, "read to its end": nil} {
		for _, order := range []string{"upload first", "answer first"} {
			t.Run(name+", "+order, func(t *testing.T) {
				g := NewWithT(t)
				c := scriptedconn.New(unframedAnswer)
				end := func() { c.End(uploadErr) }
				if order == "upload first" {
					end()
					end = func() {}
				}
				body, err := readDuringUpload(t.Context(), t, c, end)
				g.Expect(body).To(Equal("part"))
				if uploadErr == nil {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(uploadErr))
				}
			})
		}
	}
}

// TestABodyWithoutLengthDoesNotOutlastItsRequest guards against a reader that waits for an upload which nobody reads.
func TestABodyWithoutLengthDoesNotOutlastItsRequest(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := scriptedconn.New(unframedAnswer)
	_, err := readDuringUpload(ctx, t, c, cancel)
	g.Expect(err).To(MatchError(net.ErrClosed))
}

// TestAFramedBodyDoesNotAwaitItsUpload guards against whole answers that are lost since their requests aren't read.
func TestAFramedBodyDoesNotAwaitItsUpload(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 4\r\n\r\npart",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := scriptedconn.New("HTTP/1.1 200 OK\r\nOf: a\r\n" + framing)
			g.Expect(readDuringUpload(t.Context(), t, c, func() {})).To(Equal("part"))
		})
	}
}

// TestDiscardingAnAnswerDoesNotAwaitItsUpload guards against refusals that are held up by uploads which nobody reads.
func TestDiscardingAnAnswerDoesNotAwaitItsUpload(t *testing.T) {
	g := NewWithT(t)
	c := scriptedconn.New(unframedAnswer)
	pool := newPool()
	pool.Dial = func(context.Context, string) (net.Conn, error) { return c, nil }
	r := request("a")
	r.Body = largeBody
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	resp, failure := pool.Do(ctx, fleet.Endpoint{ID: "e"}, r, upstream.Sending{})
	g.Expect(failure).To(BeNil())
	resp.Discard()
	g.Expect(c.Closed).To(BeClosed())
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
}
