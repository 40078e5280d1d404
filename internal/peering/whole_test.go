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

// documentsOf is one document of a size.
func documentsOf(size int) []*peerv1.Document {
	return []*peerv1.Document{{Name: published.Fleet, Content: make([]byte, size)}}
}

// sentAtOnce counts the bytes of large documents under way while so many peers ask at once.
func sentAtOnce(peers, size int) (bytes int) {
	l := &largeDocuments{}
	var ask func(left int)
	ask = func(left int) {
		if left == 0 {
			return
		}
		h := l.handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			for _, d := range l.bounded(r.Context(), documentsOf(size)) {
				bytes += len(d.GetContent())
			}
			ask(left - 1)
		}))
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	}
	ask(peers)
	return bytes
}

// An entry that many asked at once encoded a large list for all of them, and ended over its memory.
func TestLargeListsUnderWayDoNotGrowWithThoseWhoAsk(t *testing.T) {
	g := NewWithT(t)
	g.Expect(sentAtOnce(100, 600<<10)).To(BeNumerically("<=", maxLargeBytes))
	g.Expect(sentAtOnce(200, 600<<10)).To(Equal(sentAtOnce(100, 600<<10)))
	g.Expect(sentAtOnce(3, 600<<10)).To(Equal(3 * 600 << 10))
	g.Expect(sentAtOnce(100, 10<<10)).To(Equal(100*10<<10), "small ones go to all")
	g.Expect(sentAtOnce(1, 2*maxLargeBytes)).To(Equal(2*maxLargeBytes), "one always goes")
}

func TestRoomForLargeListsComesBack(t *testing.T) {
	g := NewWithT(t)
	l := &largeDocuments{}
	for range 100 {
		sent := 0
		l.handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			sent = len(l.bounded(r.Context(), documentsOf(600<<10)))
		})).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
		g.Expect(sent).To(Equal(1))
	}
	g.Expect(l.bounded(context.Background(), documentsOf(600<<10))).To(HaveLen(1), "calls that are no answers aren't counted")
}

func TestAnUnknownListIsAskedForFromOneAtATime(t *testing.T) {
	g := NewWithT(t)
	l := &largeDocuments{}
	now := time.Now()
	g.Expect(l.asks(now, published.Fleet, 0)).To(BeTrue())
	g.Expect(l.asks(now, published.Fleet, 0)).To(BeFalse())
	g.Expect(l.asks(now, published.Fleet, 7)).To(BeTrue(), "changes are small")
	g.Expect(l.asks(now, published.Table, 0)).To(BeTrue())
	g.Expect(l.asks(now.Add(askAgain), published.Fleet, 0)).To(BeTrue())
}
