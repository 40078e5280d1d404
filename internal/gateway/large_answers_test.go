package gateway_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform"
)

// largeBytes exceeds what an entry holds of an answer.
const largeBytes = 20 << 20

// largeAnswer writes a signed answer of largeBytes, framed as given, and stops early if cut is set.
func largeAnswer(framing string, cut bool) wrapper {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/plain/x" && r.URL.Path != "/safe/x" {
				next.ServeHTTP(w, r)
				return
			}
			w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
			w.Header().Set(platform.HeaderSignature, "desk-1")
			switch framing {
			case "length":
				w.Header().Set("Content-Length", fmt.Sprint(largeBytes))
			case "connection":
				w.Header().Set("Transfer-Encoding", "identity")
			}
			block := bytes.Repeat([]byte("0123456789abcdef"), 1<<12)
			for sent := 0; sent < largeBytes; sent += len(block) {
				if cut && sent > largeBytes/2 {
					panic(http.ErrAbortHandler)
				}
				_, _ = w.Write(block)
			}
		})
	}
}

// TestAnAnswerOfAnyLengthGoesThrough guards against bounds of memory that refuse sound answers, also those
// of delegated requests.
func TestAnAnswerOfAnyLengthGoesThrough(t *testing.T) {
	want := strings.Repeat("0123456789abcdef", largeBytes/16)
	for _, framing := range []string{"length", "chunks", "connection"} {
		t.Run(framing, func(t *testing.T) {
			w := newWorld(t)
			w.serve("desk-1", "desk", 0, largeAnswer(framing, false))
			e := w.start(w.settings("vm-1")).waitReady()
			a := e.call("r1", http.MethodPost, "/plain/x", nil)
			w.g.Expect(a.status, a.err).To(Equal(http.StatusOK))
			w.g.Expect(a.header.Get(platform.HeaderSignature)).To(Equal("desk-1"))
			w.g.Expect(a.body == want).To(BeTrue(), "the body is that of the endpoint")
		})
	}
	t.Run("delegated", func(t *testing.T) {
		d := newDelegationWorld(t, 1)
		d.awaitServed()
		d.g.Expect(d.desk).NotTo(BeNil())
		large := d.serve("desk-2", "desk", 0, largeAnswer("length", false))
		d.desk.SetRefusing(true)
		d.awaitAnnounced()
		d.g.Eventually(func() bool {
			a := d.cut.call("r1", http.MethodPost, "/plain/x", nil)
			return a.status == http.StatusOK && a.err == nil && a.body == want
		}, eventually).Should(BeTrue(), large.ID)
	})
}

// TestALargeAnswerThatBreaksOffIsCut guards against a part of an answer that callers take for whole, and
// against a second run behind a part of the first.
func TestALargeAnswerThatBreaksOffIsCut(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			w := newWorld(t)
			w.serve("desk-1", "desk", 0, largeAnswer(framing, true))
			w.serve("desk-2", "desk", 0, largeAnswer(framing, true))
			e := w.start(w.settings("vm-1")).waitReady()
			a := e.call("r1", http.MethodGet, "/safe/x", nil)
			w.g.Expect(a.status).To(Equal(http.StatusOK))
			w.g.Expect(a.err).To(HaveOccurred())
			w.g.Expect(len(a.body)).To(BeNumerically("<", largeBytes))
			w.g.Expect(w.logs.with("request failed", "request=r1", "outcome=incomplete")).To(HaveLen(1))
		})
	}
}
