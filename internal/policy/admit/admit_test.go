package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

func ExampleMemoryNeed() {
	fmt.Println(MemoryNeed(3000, 1600, 0), MemoryNeed(3000, 1600, 1500))
	// Output: 3250 4600
}

func ExampleOnTimeWait() {
	// Prefill of a prompt of 3,500 tokens takes half a second.
	fmt.Println(OnTimeWait(1800*time.Millisecond, 100*time.Millisecond, 3500))
	// Output: 500ms
}

func TestWait(t *testing.T) {
	for name, tc := range map[string]struct {
		due, allowed, since, want time.Duration
	}{
		"a long call may start late":                    {due: 600 * time.Millisecond, allowed: 39 * time.Second, want: maxLateWait},
		"elapsed time is subtracted":                    {allowed: 39 * time.Second, since: 2 * time.Second, want: time.Second},
		"a short call waits while it can start on time": {due: 900 * time.Millisecond, allowed: 6 * time.Second, want: 900 * time.Millisecond},
		"at most an eighth of the timeout":              {due: 100 * time.Millisecond, allowed: 6 * time.Second, want: 750 * time.Millisecond},
		"the timeout is over":                           {due: time.Second, allowed: time.Second, since: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, MaxWait(tc.due, tc.allowed, tc.since), tc.want) })
	}
}

// TestBounds checks that no wait exceeds the remaining time of the client's timeout.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := rapid.Int64Range(0, int64(time.Minute))
		target, allowed := time.Duration(span.Draw(t, "target")), time.Duration(span.Draw(t, "allowed"))
		since := time.Duration(span.Draw(t, "since"))
		due := OnTimeWait(target, since, rapid.IntRange(0, 100_000).Draw(t, "read"))
		wait := MaxWait(due, allowed, since)
		assert.Assert(t, due >= 0 && due <= target)
		assert.Assert(t, wait >= 0 && wait <= max(0, allowed-since))
		assert.Assert(t, RetryAfter(time.Hour, allowed-since) <= max(0, allowed-since))
	})
}
