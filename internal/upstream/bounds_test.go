package upstream_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/upstream"
)

// floodBytes is far more than a pool may hold of an answer, and maxAllocatedBytes what it may allocate
// for one.
const (
	floodBytes        = 64 << 20
	maxAllocatedBytes = 4 << 20
)

// flood writes a text again and again.
func flood(c net.Conn, text string) {
	block := []byte(strings.Repeat(text, 64<<10/len(text)+1))
	for sent := 0; sent < floodBytes; sent += len(block) {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// TestAnAnswerWithoutEndEndsItsConnection guards against endpoints whose bytes, in any part of an answer
// but the body, take up the memory of the entry.
func TestAnAnswerWithoutEndEndsItsConnection(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\nOf: a\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ begin, rest string }{
		"no line":                      {"", "x"},
		"status line":                  {"HTTP/1.1 200 ", "x"},
		"field name":                   {head, "x"},
		"field value":                  {head + "Field: ", "x"},
		"fields":                       {head, "Field: x\r\n"},
		"short fields":                 {head, "a:\n"},
		"continued field":              {head + "Field: x\r\n", " x\r\n"},
		"informational answers":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"answers to other requests":    {"", "HTTP/1.1 200 OK\r\nOf: b\r\nContent-Length: 1\r\n\r\nx"},
		"body of another request":      {"HTTP/1.1 200 OK\r\nOf: b\r\n" + chunked, "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"chunk size":                   {head + chunked, "1"},
		"chunk extension":              {head + chunked + "1;", "x"},
		"chunk extensions":             {head + chunked, "1;" + strings.Repeat("x", 4000) + "\r\nx\r\n"},
		"trailer":                      {head + chunked + "1\r\nx\r\n0\r\nTrailer: ", "x"},
		"trailers":                     {head + chunked + "1\r\nx\r\n0\r\n", "Trailer: x\r\n"},
		"bytes after a whole answer":   {head + "Content-Length: 1\r\n\r\nx", "x"},
		"answers after a whole answer": {head + "Content-Length: 1\r\n\r\nx", "HTTP/1.1 200 OK\r\nOf: c\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ended := make(chan struct{})
			p := listen(t, func(conn net.Conn, next func() string) {
				next()
				_, _ = io.WriteString(conn, c.begin)
				flood(conn, c.rest)
				close(ended)
			})
			pool := newPool()
			go pool.Run(t.Context())
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			resp, failure := pool.Do(ctx, p.endpoint, request("a"), upstream.Sending{})
			var err error = failure
			if failure == nil {
				_, err = io.Copy(io.Discard, resp)
				resp.Close()
			}
			runtime.ReadMemStats(&after)
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", maxAllocatedBytes))
			if !strings.Contains(name, "after a whole answer") {
				g.Expect(err).To(HaveOccurred())
			}
			g.Expect(ctx.Err()).NotTo(HaveOccurred())
			g.Eventually(ended, "10s").Should(BeClosed(), "the connection is closed")
		})
	}
}

// TestSoundHeadsWithinTheBoundsAreRead guards against bounds that sound answers exceed.
func TestSoundHeadsWithinTheBoundsAreRead(t *testing.T) {
	g := NewWithT(t)
	field := "Field: " + strings.Repeat("x", 1000) + "\r\n"
	p := listen(t, func(c net.Conn, next func() string) {
		for id := next(); id != ""; id = next() {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nOf: "+id+"\r\n"+strings.Repeat(field, 14)+
				"Content-Length: 2\r\n\r\nok")
		}
	})
	pool := newPool()
	for _, id := range []string{"a", "b"} {
		g.Expect(do(pool, p.endpoint, id)).To(Equal("ok"))
	}
	_, conns := p.seen()
	g.Expect(conns).To(Equal(1))
}

// TestBytesOnAnIdleConnectionEndIt guards against endpoints that fill the receive buffers of idle
// connections.
func TestBytesOnAnIdleConnectionEndIt(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	send := make(chan struct{})
	p := listen(t, func(c net.Conn, next func() string) {
		_, _ = io.WriteString(c, answer(next(), "ok"))
		<-send
		flood(c, "x")
		close(ended)
	})
	pool := newPool()
	go pool.Run(t.Context())
	g.Expect(do(pool, p.endpoint, "a")).To(Equal("ok"))
	close(send)
	g.Eventually(ended, "20s").Should(BeClosed())
}

// TestAHeadOfManyFieldsIsNoAnswer guards against fields of a few bytes, which take far more in memory.
func TestAHeadOfManyFieldsIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	p := listen(t, func(c net.Conn, next func() string) {
		id := next()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nOf: "+id+"\r\n"+strings.Repeat("a:\r\n", 300)+"Content-Length: 0\r\n\r\n")
		next()
	})
	_, err := do(newPool(), p.endpoint, "a")
	g.Expect(err).To(HaveOccurred())
}
