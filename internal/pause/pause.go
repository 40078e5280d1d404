// Package pause provides a sleep that ends with a context.
package pause

import (
	"context"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
)

// For sleeps for d and returns true, or returns false if the context ends first. Time for which
// the VM was suspended counts.
func For(ctx context.Context, d time.Duration) bool { return clock.Wait(ctx, d) }
