package httpserver

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
)

// TestHeadsAreBoundedInFieldsAndInSum guards against heads of short fields that take many times their size in memory.
func TestHeadsAreBoundedInFieldsAndInSum(t *testing.T) {
	const headMemory = 64 << 10
	const begin = "POST / HTTP/1.1\r\nHost: h\r\n"
	body := strings.Repeat("\n", 4*maxHeadLines)
	end := "Content-Length: 1024\r\n\r\n" + body
	for name, tc := range map[string]struct {
		pieces []string
		status int
	}{
		"ordinary":                  {[]string{begin, strings.Repeat("a: b\r\n", 30), end}, http.StatusOK},
		"body of many lines":        {[]string{begin + end}, http.StatusOK},
		"end in pieces":             {[]string{begin + "Content-Length: 1024\r\n\r", "\n", body}, http.StatusOK},
		"too many fields":           {[]string{begin + strings.Repeat("a:\r\n", maxHeadLines)}, http.StatusRequestHeaderFieldsTooLarge},
		"too many fields in pieces": {[]string{begin + strings.Repeat("a:\n", maxHeadLines/2), strings.Repeat("b:\n", maxHeadLines/2)}, http.StatusRequestHeaderFieldsTooLarge},
		"no memory":                 {[]string{begin + "A: " + strings.Repeat("x", headMemory)}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := freeport.Listen(t)
			memory := membudget.New(headMemory)
			s := Start(l, Config{HeadMemory: memory, HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			})}})
			t.Cleanup(func() { _ = s.Close() })
			c := dial(g, l.Addr().String())
			defer c.Close()
			answers := bufio.NewReader(c)
			for range 2 {
				for _, piece := range tc.pieces {
					_, err := io.WriteString(c, piece)
					g.Expect(err).NotTo(HaveOccurred())
					time.Sleep(time.Millisecond)
				}
				resp, err := http.ReadResponse(answers, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(tc.status))
				g.Expect(resp.Body.Close()).To(Succeed())
				if tc.status != http.StatusOK {
					break
				}
			}
			_ = c.Close()
			g.Eventually(memory.Used).Should(BeZero())
		})
	}
}

// TestPipelinedHeadsAreServed guards against bodies that are taken for fields when only the end of a head arrives after the
// response before.
func TestPipelinedHeadsAreServed(t *testing.T) {
	const first = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	const second = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2048\r\n\r\n"
	body := strings.Repeat("abc\n", 512)
	for end := range len("\r\n\r\n") + 1 {
		t.Run(strconv.Itoa(end), func(t *testing.T) {
			g := NewWithT(t)
			l := freeport.Listen(t)
			s := Start(l, Config{HeadMemory: membudget.New(1 << 20), HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			})}})
			t.Cleanup(func() { _ = s.Close() })
			c := dial(g, l.Addr().String())
			defer c.Close()
			answers := bufio.NewReader(c)
			split := len(second) - end
			for _, piece := range []string{first + second[:split], second[split:] + body} {
				_, err := io.WriteString(c, piece)
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := http.ReadResponse(answers, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
				g.Expect(resp.Body.Close()).To(Succeed())
			}
		})
	}
}

// TestAnEmptyLineDoesNotLiftTheBoundOfAHead guards against heads that evade their bound.
func TestAnEmptyLineDoesNotLiftTheBoundOfAHead(t *testing.T) {
	g := NewWithT(t)
	h := headGuard{memory: membudget.New(1 << 20).Reserve(), blank: true}
	g.Expect(h.take([]byte("\r\nGET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", maxHeadLines)), false)).To(BeEmpty())
	g.Expect(h.take([]byte("a:\r\n"), false)).To(Equal(tooManyFields))
}

// TestARefusedHeadOnAnEncryptedConnectionIsNotAnsweredInPlainText guards against bytes that are no part of the encrypted ones.
func TestARefusedHeadOnAnEncryptedConnectionIsNotAnsweredInPlainText(t *testing.T) {
	g := NewWithT(t)
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	l := freeport.Listen(t)
	s := Start(l, Config{HeadMemory: membudget.New(64 << 10), TLS: certified.TLS, HTTP: &http.Server{Handler: http.NotFoundHandler()}})
	t.Cleanup(func() { _ = s.Close() })
	c, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 64<<10))
	_, err = c.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.As(err, new(tls.RecordHeaderError))).To(BeFalse(), "%v", err)
}
