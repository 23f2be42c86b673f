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

func TestMaxWait(t *testing.T) {
	for name, tc := range map[string]struct {
		onTime, timeout, elapsed, want time.Duration
	}{
		"a long call may start late":                    {onTime: 600 * time.Millisecond, timeout: 39 * time.Second, want: maxLateWait},
		"elapsed time is subtracted":                    {timeout: 39 * time.Second, elapsed: 2 * time.Second, want: time.Second},
		"a short call waits while it can start on time": {onTime: 900 * time.Millisecond, timeout: 6 * time.Second, want: 900 * time.Millisecond},
		"at most an eighth of the timeout":              {onTime: 100 * time.Millisecond, timeout: 6 * time.Second, want: 750 * time.Millisecond},
		"the timeout is over":                           {onTime: time.Second, timeout: time.Second, elapsed: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, MaxWait(tc.onTime, tc.timeout, tc.elapsed), tc.want) })
	}
}

// TestBounds checks that no wait exceeds the remaining time of the client's timeout.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		durations := rapid.Int64Range(0, int64(time.Minute))
		target, timeout := time.Duration(durations.Draw(t, "target")), time.Duration(durations.Draw(t, "timeout"))
		elapsed := time.Duration(durations.Draw(t, "elapsed"))
		onTime := OnTimeWait(target, elapsed, rapid.IntRange(0, 100_000).Draw(t, "prompt tokens"))
		wait := MaxWait(onTime, timeout, elapsed)
		assert.Assert(t, onTime >= 0 && onTime <= target)
		assert.Assert(t, wait >= 0 && wait <= max(0, timeout-elapsed))
		assert.Assert(t, RetryAfter(time.Hour, timeout-elapsed) <= max(0, timeout-elapsed))
	})
}
