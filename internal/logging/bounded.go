package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPending bounds the lines that wait to be written.
	maxPending = 512
	// reportEvery is how often a line tells of lines that were dropped.
	reportEvery = time.Second
)

// Bounded is a writer of log lines that never blocks. Beyond a number of lines a
// second, or while the writer behind it is stuck, lines are dropped and counted;
// a line then tells how many. Each call of Write is one line.
type Bounded struct {
	lines   chan []byte
	perSec  float64
	dropped atomic.Uint64

	mu     sync.Mutex
	tokens float64
	at     time.Time

	done chan struct{}
}

// NewBounded makes a writer of at most so many lines a second, which may come
// at once.
func NewBounded(w io.Writer, linesPerSecond int) *Bounded {
	b := &Bounded{
		lines:  make(chan []byte, maxPending),
		perSec: float64(linesPerSecond),
		tokens: float64(linesPerSecond),
		at:     time.Now(),
		done:   make(chan struct{}),
	}
	go b.drain(w)
	return b
}

// Dropped counts the lines that were dropped.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Write implements io.Writer. It always takes the line.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.allow(time.Now()) {
		b.dropped.Add(1)
		return len(line), nil
	}
	return b.enqueue(line)
}

func (b *Bounded) enqueue(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Unlimited returns a writer of rare lines that the number of lines a second doesn't bound.
func (b *Bounded) Unlimited() io.Writer { return unlimited{b} }

type unlimited struct{ *Bounded }

// Write implements io.Writer.
func (u unlimited) Write(line []byte) (int, error) { return u.enqueue(line) }

func (b *Bounded) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*b.perSec, b.perSec)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Close writes what waits, for at most a time, and ends the writer.
func (b *Bounded) Close(wait time.Duration) {
	over := time.After(wait)
	select {
	case b.lines <- nil:
	case <-over:
		return
	}
	select {
	case <-b.done:
	case <-over:
	}
}

func (b *Bounded) drain(w io.Writer) {
	defer close(b.done)
	told := uint64(0)
	toldAt := time.Now()
	tell := func() {
		if n := b.dropped.Load(); n > told {
			_, _ = fmt.Fprintf(w, "level=warn msg=\"log lines dropped\" count=%d total=%d\n", n-told, n)
			told, toldAt = n, time.Now()
		}
	}
	for line := range b.lines {
		if line == nil {
			tell()
			return
		}
		// Nowhere is left to report a log that can't be written.
		_, _ = w.Write(line)
		if time.Since(toldAt) >= reportEvery {
			tell()
		}
	}
}
