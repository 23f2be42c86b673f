package retry

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
