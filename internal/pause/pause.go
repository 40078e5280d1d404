// Package pause waits within a context.
package pause

import (
	"context"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
)

// For waits, and returns false if the context ended first. Time for which the VM was
// suspended counts.
func For(ctx context.Context, d time.Duration) bool { return clock.Wait(ctx, d) }
