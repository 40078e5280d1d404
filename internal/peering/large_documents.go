package peering

import (
	"context"
	"net/http"
	"sync"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

// When many entries start at once, they all exchange with the seeds. A large document takes several
// times its size in memory while it is encoded and compressed for one response, so that the memory
// of a seed would grow with the fleet. The bytes of large documents in concurrent responses are
// therefore bounded, and an entry requests the fleet list from one peer at a time. An entry that
// receives no document requests it in a later exchange, from the same or another peer.

const (
	// minLargeBytes is the size from which a document counts as large. Smaller ones are always sent.
	minLargeBytes = minCompressBytes
	// maxInFlightLargeBytes bounds the bytes of large documents in responses being written.
	maxInFlightLargeBytes = 4 << 20
	// requestRetryInterval is the time after which an entry without any fleet list requests it
	// from another peer.
	requestRetryInterval = 500 * time.Millisecond
)

// largeDocuments tracks the bytes of large documents in flight and the times of requests for
// documents. It is safe for concurrent use.
type largeDocuments struct {
	mu            sync.Mutex
	inFlightBytes int
	requestedAt   map[string]time.Time
}

// responseKey is the context key of the trackedResponse of a call.
type responseKey struct{}

// trackedResponse counts the bytes in flight of one response.
type trackedResponse struct{ bytes int }

// trackResponses wraps a handler and releases the bytes of each response once it is written.
func (l *largeDocuments) trackResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &trackedResponse{}
		defer l.release(tracked)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), responseKey{}, tracked)))
	})
}

func (l *largeDocuments) release(tracked *trackedResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlightBytes -= tracked.bytes
}

// limitInFlight drops large documents that would exceed maxInFlightLargeBytes, and counts the
// others as in flight. If none is in flight, the first one is kept whatever its size.
func (l *largeDocuments) limitInFlight(ctx context.Context, docs []*peerv1.Document) []*peerv1.Document {
	tracked, ok := ctx.Value(responseKey{}).(*trackedResponse)
	if !ok {
		return docs
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := docs[:0]
	for _, d := range docs {
		size := len(d.GetContent())
		if size >= minLargeBytes {
			if l.inFlightBytes > 0 && l.inFlightBytes+size > maxInFlightLargeBytes {
				continue
			}
			l.inFlightBytes += size
			tracked.bytes += size
		}
		kept = append(kept, d)
	}
	return kept
}

// shouldRequest reports whether to request a document from a peer. An entry without any revision
// of the fleet list receives the full list, and therefore requests it at most once per
// requestRetryInterval. With a known revision it receives the changes only.
func (l *largeDocuments) shouldRequest(now time.Time, name string, knownRevision revision.ID) bool {
	if knownRevision != 0 || name != published.Fleet {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.requestedAt[name]) < requestRetryInterval {
		return false
	}
	if l.requestedAt == nil {
		l.requestedAt = map[string]time.Time{}
	}
	l.requestedAt[name] = now
	return true
}
