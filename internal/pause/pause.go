// Package pause waits within a context.
package pause

import (
	"context"
	"time"
)

// For waits, and returns false if the context ended first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
