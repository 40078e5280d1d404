// Package waitfor waits for what a daemon needs and doesn't have yet: a port that its predecessor still holds, an address
// that isn't on the VM yet, a file that is being written.
package waitfor

import (
	"context"
	"net"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bridgehoist/bridgehoist/internal/pause"
)

const (
	// firstPause and longestPause are the waits between two tries; each is twice the one before.
	firstPause   = 20 * time.Millisecond
	longestPause = 250 * time.Millisecond
	// logEvery is how often a line tells that it still waits.
	logEvery = 30 * time.Second
)

// Success calls try until it succeeds, and returns its result, or the context's error if that ends first. It logs when
// it begins to wait, rarely while it waits, and when it has succeeded; what names what it waits for.
func Success[T any](ctx context.Context, logger *log.Logger, what, name string, try func() (T, error)) (T, error) {
	begun := time.Now()
	var logged time.Time
	for wait := firstPause; ; wait = min(2*wait, longestPause) {
		result, err := try()
		if err == nil {
			if !logged.IsZero() {
				logger.Info("waited for "+what, what, name, "for", time.Since(begun).Round(time.Millisecond))
			}
			return result, nil
		}
		if time.Since(logged) >= logEvery {
			logger.Warn("waiting for "+what, what, name, "error", err)
			logged = time.Now()
		}
		if !pause.For(ctx, wait) {
			return result, ctx.Err()
		}
	}
}

// Listener listens on a TCP address as soon as that is possible.
func Listener(ctx context.Context, logger *log.Logger, address string) (net.Listener, error) {
	return Success(ctx, logger, "address", address, func() (net.Listener, error) { return net.Listen("tcp", address) })
}
