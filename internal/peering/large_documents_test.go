package peering

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/published"
)

// documentOfSize returns a single document of the given size in bytes.
func documentOfSize(size int) []*peerv1.Document {
	return []*peerv1.Document{{Name: published.Fleet, Content: make([]byte, size)}}
}

// concurrentLargeBytes returns the bytes of documents in flight while this many peers request
// one concurrently.
func concurrentLargeBytes(peers, size int) (bytes int) {
	l := &largeDocuments{}
	var request func(left int)
	request = func(remaining int) {
		if remaining == 0 {
			return
		}
		h := l.trackResponses(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			for _, d := range l.limitInFlight(r.Context(), documentOfSize(size)) {
				bytes += len(d.GetContent())
			}
			request(remaining - 1)
		}))
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	}
	request(peers)
	return bytes
}

// TestLargeDocumentBytesInFlightAreBounded guards against an entry that runs out of memory because
// it encodes a large list for many peers at once.
func TestLargeDocumentBytesInFlightAreBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(concurrentLargeBytes(100, 600<<10)).To(BeNumerically("<=", maxInFlightLargeBytes))
	g.Expect(concurrentLargeBytes(200, 600<<10)).To(Equal(concurrentLargeBytes(100, 600<<10)))
	g.Expect(concurrentLargeBytes(3, 600<<10)).To(Equal(3 * 600 << 10))
	g.Expect(concurrentLargeBytes(100, 10<<10)).To(Equal(100*10<<10), "small documents are always sent")
	g.Expect(concurrentLargeBytes(1, 2*maxInFlightLargeBytes)).To(Equal(2*maxInFlightLargeBytes), "a single document is always sent")
}

func TestLargeDocumentBytesAreReleased(t *testing.T) {
	g := NewWithT(t)
	l := &largeDocuments{}
	for range 100 {
		sent := 0
		l.trackResponses(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			sent = len(l.limitInFlight(r.Context(), documentOfSize(600<<10)))
		})).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
		g.Expect(sent).To(Equal(1))
	}
	g.Expect(l.limitInFlight(context.Background(), documentOfSize(600<<10))).To(HaveLen(1), "contexts without a tracked response are not limited")
}

func TestUnknownListIsRequestedOncePerInterval(t *testing.T) {
	g := NewWithT(t)
	l := &largeDocuments{}
	now := time.Now()
	g.Expect(l.shouldRequest(now, published.Fleet, 0)).To(BeTrue())
	g.Expect(l.shouldRequest(now, published.Fleet, 0)).To(BeFalse())
	g.Expect(l.shouldRequest(now, published.Fleet, 7)).To(BeTrue(), "with a known revision only the changes are sent")
	g.Expect(l.shouldRequest(now, published.Table, 0)).To(BeTrue())
	g.Expect(l.shouldRequest(now.Add(requestRetryInterval), published.Fleet, 0)).To(BeTrue())
}
