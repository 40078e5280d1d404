package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

const (
	host   = "desk.example"
	tenant = "huka270"
	apiKey = "xd9dnn2ctnfzs989anu6"
)

// call is a request of a client.
type call struct {
	method, path, body string
	limit              time.Duration
	// prompt and most are the tokens of a prompt and the most out; zero for plain requests.
	prompt, most int
	key          string
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	at     time.Time
	status int
	header http.Header
	body   string
	// err says how it ended, unless it came whole.
	err error
}

func (a answer) text() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer: %v", a.err)
	case a.err != nil:
		return fmt.Sprintf("%d, broken off after %d bytes: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d, %d bytes, whole, signature %q", a.status, len(a.body), a.header.Get(platform.HeaderSignature))
}

// channel is a kept channel of a client.
type channel struct {
	net.Conn
	reader *bufio.Reader
	closed bool
}

func open(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request on a channel and reads its answer to the end.
func (w *world) send(ctx context.Context, c *channel, r call) (a answer) {
	a.id = w.id()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, host, platform.HeaderRequestID, a.id, platform.HeaderWait, r.limit.Milliseconds())
	key := r.key
	if key == "" {
		key = apiKey
	}
	fmt.Fprintf(&b, "%s: %s\r\n", platform.HeaderAPIKey, key)
	if r.prompt > 0 {
		fmt.Fprintf(&b, "Model: m\r\n%s: %d,%d\r\n%s: %s:%d\r\n", platform.HeaderTokens, r.prompt, r.most, platform.HeaderPromptParts, a.id[8:], r.prompt)
	}
	if r.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	a.sent = time.Now()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	// A client waits until its time limit, and a moment longer for what crosses it.
	_ = c.SetDeadline(a.sent.Add(r.limit + time.Second))
	if _, a.err = io.WriteString(c, b.String()); a.err != nil {
		c.closed = true
		a.at = time.Now()
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		a.err, a.at, c.closed = err, time.Now(), true
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	data, err := io.ReadAll(resp.Body)
	a.body, a.err, a.at = string(data), err, time.Now()
	c.closed = c.closed || err != nil || resp.Close
	if c.closed {
		_ = c.Close()
	}
	return a
}

// timedOut reports whether a client gave up by itself.
func (a answer) timedOut() bool {
	var n net.Error
	return errors.As(a.err, &n) && n.Timeout()
}
