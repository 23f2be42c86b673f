package wire

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/rates"
	"umberladder/internal/policy/reject"
)

// TestLimits guards against encoding that lowers a rate or shifts a timestamp by more than
// a millisecond.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		want := rates.Limit{
			Server: ident.Server(rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(t, "server")),
			Rate:   rapid.Float64Range(0, 1e6).Draw(t, "rate"),
			At:     now.Add(-time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age"))),
			Sent:   rapid.IntRange(0, math.MaxInt32).Draw(t, "sent"),
		}
		got, err := decodeLimit(encodeLimit(want, now), now)
		assert.NilError(t, err)
		assert.Assert(t, got.Rate >= want.Rate-1e-9 && got.Rate <= want.Rate+1.0/rateScale)
		assert.Assert(t, want.At.Sub(got.At).Abs() <= time.Millisecond)
		assert.Equal(t, got.Server, want.Server)
		assert.Equal(t, got.Sent, want.Sent)
	})
}

// TestRejectLimits guards against encoding that changes a limit on rejections.
func TestRejectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		want := reject.Limit{
			Service:    ident.Service(rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(t, "service")),
			Rejections: rapid.IntRange(0, math.MaxInt32).Draw(t, "rejections"),
			At:         now.Add(-time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age"))),
		}
		got, err := decodeRejectLimit(encodeRejectLimit(want, now), now)
		assert.NilError(t, err)
		assert.Assert(t, want.At.Sub(got.At).Abs() <= time.Millisecond)
		got.At = want.At
		assert.Equal(t, got, want)
	})
}
