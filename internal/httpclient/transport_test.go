package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/scriptedconn"
)

// post sends a request over a connection and returns the body of the response.
func post(ctx context.Context, t *testing.T, c net.Conn, body io.Reader) (string, error) {
	client := &http.Client{Timeout: testTimeout, Transport: New(&http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil },
	})}
	t.Cleanup(client.CloseIdleConnections)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:1/", body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

const (
	unframedAnswer = "HTTP/1.1 200 OK\r\n\r\npart"
	uploadBytes    = 1 << 20
	// testTimeout ends requests that would wait for ever.
	testTimeout = 20 * time.Second
)

// TestABodyWithoutLengthIsWholeIfItsUploadEndsWell guards against parts of responses whose reset only the writer gets.
func TestABodyWithoutLengthIsWholeIfItsUploadEndsWell(t *testing.T) {
	for name, uploadErr := range map[string]error{"reset": syscall.ECONNRESET, "reset after FIN": syscall.EPIPE, "read to its end": nil} {
		for _, order := range []string{"upload first", "response first"} {
			t.Run(name+", "+order, func(t *testing.T) {
				g := NewWithT(t)
				c := scriptedconn.New(unframedAnswer)
				body := io.Reader(bytes.NewReader(make([]byte, uploadBytes)))
				if order == "upload first" {
					c.End(uploadErr)
				} else {
					go func() {
						<-c.Answered
						c.End(uploadErr)
					}()
				}
				got, err := post(t.Context(), t, c, body)
				if uploadErr == nil {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(got).To(Equal("part"))
				} else {
					g.Expect(err).To(HaveOccurred())
				}
			})
		}
	}
}

// lateReset is a connection whose writes fail once the response has ended.
type lateReset struct{ *scriptedconn.Conn }

func (c lateReset) Write(p []byte) (int, error) {
	c.Request()
	select {
	case <-c.Answered:
		return 0, syscall.ECONNRESET
	default:
		return len(p), nil
	}
}

// TestAnUploadThatIsHeldUpIsAwaited guards against bodies that count as whole between two writes of their requests.
func TestAnUploadThatIsHeldUpIsAwaited(t *testing.T) {
	g := NewWithT(t)
	c := scriptedconn.New(unframedAnswer)
	body, source := io.Pipe()
	go func() {
		_, _ = source.Write(make([]byte, uploadBytes))
		<-c.Answered
		_, _ = source.Write(make([]byte, uploadBytes))
		source.Close()
	}()
	_, err := post(t.Context(), t, lateReset{c}, body)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

// TestABodyWithoutLengthDoesNotOutlastItsRequest guards against readers that wait for uploads which nobody reads.
func TestABodyWithoutLengthDoesNotOutlastItsRequest(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	c := scriptedconn.New(unframedAnswer)
	go func() {
		<-c.Answered
		cancel()
	}()
	_, err := post(ctx, t, c, bytes.NewReader(make([]byte, uploadBytes)))
	g.Expect(err).To(MatchError(context.Canceled))
}

// TestAFramedBodyDoesNotAwaitItsUpload guards against whole responses that are lost since their requests aren't read.
func TestAFramedBodyDoesNotAwaitItsUpload(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 4\r\n\r\npart",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := scriptedconn.New("HTTP/1.1 200 OK\r\n" + framing)
			g.Expect(post(t.Context(), t, c, bytes.NewReader(make([]byte, uploadBytes)))).To(Equal("part"))
		})
	}
	t.Run("half of a length", func(t *testing.T) {
		g := NewWithT(t)
		c := scriptedconn.New("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart")
		_, err := post(t.Context(), t, c, bytes.NewReader(make([]byte, uploadBytes)))
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})
}

// TestAResponseWithAnInvalidHeadIsAnError guards against responses, also to kept connections, that aren't HTTP.
func TestAResponseWithAnInvalidHeadIsAnError(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
	for name, text := range map[string]string{
		"blank in a name":    "HTTP/1.1 200 OK\r\nX Part: a\r\nContent-Length: 0\r\n\r\n",
		"blank after a name": "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"informational":      "HTTP/1.1 103 Hints\r\nX Part: a\r\n\r\n" + valid,
		"after a valid one":  "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Part: a\r\nContent-Length: 0\r\n\r\n",
		"status 000":         "HTTP/1.1 000 Zero\r\n\r\n" + valid,
		"status 101":         "HTTP/1.1 101 Switching\r\n\r\n" + valid,
		"status 999":         "HTTP/1.1 999 Nines\r\n\r\n",
		"HTTP/2.7":           "HTTP/2.7 200 OK\r\nContent-Length: 0\r\n\r\n",
		"control byte":       "HTTP/1.1 200 OK\r\nX\x01: a\r\n\r\n",
		"HTTP/1.0 in chunks": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := scriptedconn.New(text)
			_, err := post(t.Context(), t, c, nil)
			g.Expect(err).To(MatchError(ErrInvalidHead))
			g.Eventually(c.Closed, "10s").Should(BeClosed())
		})
	}
	t.Run("and silence", func(t *testing.T) {
		g := NewWithT(t)
		address := freeport.Serve(t, func(c *net.TCPConn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX Part")
				_, _ = io.Copy(io.Discard, c)
			}
		})
		c, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = post(t.Context(), t, c, nil)
		g.Expect(err).To(MatchError(ErrInvalidHead))
	})
}

// TestAnUnsolicitedResponseIsNotBelieved guards against heads that are read before their request is sent.
func TestAnUnsolicitedResponseIsNotBelieved(t *testing.T) {
	g := NewWithT(t)
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for at := range len(unframedAnswer) {
		raw := scriptedconn.New(first + unframedAnswer)
		raw.Request()
		c := newConn(raw, defaultMaxHeadBytes)
		c.begin()
		_, err := io.ReadFull(c, make([]byte, len(first)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.checkHead()).To(Succeed())
		c.requestWritten()
		_, err = io.ReadFull(c, make([]byte, at+1))
		g.Expect(err).NotTo(HaveOccurred())
		c.begin()
		g.Expect(c.checkHead()).To(HaveOccurred())
		// The rest may be known to be invalid before it has been read.
		_, _ = io.ReadAll(c)
		g.Expect(c.checkHead()).To(HaveOccurred())
	}
}

// TestTheLastWriteIsAwaited guards against bodies that count as whole before the last bytes of their requests are written.
func TestTheLastWriteIsAwaited(t *testing.T) {
	g := NewWithT(t)
	raw := scriptedconn.New(unframedAnswer)
	c := newConn(raw, defaultMaxHeadBytes)
	c.begin()
	_, err := c.Write([]byte("request"))
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _, _ = c.Write([]byte("rest")) }()
	g.Eventually(raw.Blocked).Should(BeClosed())
	c.requestWritten()
	go func() {
		<-raw.Answered
		raw.End(syscall.ECONNRESET)
	}()
	_, err = io.ReadAll(c)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

// TestClosingEndsTheWaitForARequest guards against readers of a request that is never written.
func TestClosingEndsTheWaitForARequest(t *testing.T) {
	g := NewWithT(t)
	raw := scriptedconn.New(unframedAnswer)
	raw.Request()
	c := newConn(raw, defaultMaxHeadBytes)
	c.begin()
	go func() {
		<-raw.Answered
		c.Close()
	}()
	_, err := io.ReadAll(c)
	g.Expect(err).To(MatchError(net.ErrClosed))
}

// TestConnectionsAreKept guards against checks that cost each request a connection, with TLS and without.
func TestConnectionsAreKept(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	for name, server := range map[string]*httptest.Server{"plain": httptest.NewServer(handler), "TLS": httptest.NewTLSServer(handler)} {
		t.Run(name, func(t *testing.T) {
			defer server.Close()
			g := NewWithT(t)
			dials := 0
			transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				dials++
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}}
			if name == "TLS" {
				transport.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
			}
			client := &http.Client{Transport: New(transport)}
			defer client.CloseIdleConnections()
			for range 5 {
				resp, err := client.Post(server.URL, "text/plain", strings.NewReader("body"))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("body"))
				resp.Body.Close()
			}
			g.Expect(dials).To(Equal(1))
		})
	}
}
