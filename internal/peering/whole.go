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

// When many entries start at once they all ask the seeds, and whoever knows more is asked for it. A
// large value takes several times its size while it is encoded and compressed, for each that asks, so
// that a seed's memory would grow with the fleet. Large values are therefore sent to few at a time, and
// asked for from one at a time. Who gets none asks another entry, or again.

const (
	// largeBytes is the size from which on a document counts; smaller ones are sent to all.
	largeBytes = compressFrom
	// maxLargeBytes bounds the large documents in the answers under way.
	maxLargeBytes = 4 << 20
	// askAgain is when an entry that knows nothing of a value asks another peer for it.
	askAgain = 500 * time.Millisecond
)

// largeDocuments counts the large documents under way, and what was asked for. It is safe for
// concurrent use.
type largeDocuments struct {
	mu       sync.Mutex
	underWay int
	asked    map[string]time.Time
}

// answerKey finds the answer that a call is for in its context.
type answerKey struct{}

// answer is what one answer holds of the bytes under way.
type answer struct{ bytes int }

// handler gives back what each answer held, once it is written.
func (l *largeDocuments) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &answer{}
		defer l.done(a)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), answerKey{}, a)))
	})
}

func (l *largeDocuments) done(a *answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.underWay -= a.bytes
}

// bounded leaves out the large documents that are too many at once. One is always sent.
func (l *largeDocuments) bounded(ctx context.Context, docs []*peerv1.Document) []*peerv1.Document {
	a, counted := ctx.Value(answerKey{}).(*answer)
	if !counted {
		return docs
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out := docs[:0]
	for _, d := range docs {
		size := len(d.GetContent())
		if size >= largeBytes {
			if l.underWay > 0 && l.underWay+size > maxLargeBytes {
				continue
			}
			l.underWay += size
			a.bytes += size
		}
		out = append(out, d)
	}
	return out
}

// asks reports whether to ask a peer for the list of endpoints of which a revision is known: one
// that is unknown comes whole.
func (l *largeDocuments) asks(now time.Time, name string, known revision.ID) bool {
	if known != 0 || name != published.Fleet {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.asked[name]) < askAgain {
		return false
	}
	if l.asked == nil {
		l.asked = map[string]time.Time{}
	}
	l.asked[name] = now
	return true
}
