package lifecycle

import (
	"context"
	"time"
)

// Sleep waits and reports whether the context is still going.
func Sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
