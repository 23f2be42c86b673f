package refuse_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/refuse"
	"umberladder/internal/core/seal"
)

func testKeyRing(t testing.TB) *seal.KeyRing {
	t.Helper()
	r, err := seal.New([]seal.Secret{{ID: 1, Bytes: []byte("0123456789abcdef")}})
	assert.NilError(t, err)
	return r
}

func sample() *refuse.Refusal {
	r := refuse.New(refuse.PredictedWait, "%d requests wait before this one", 41).
		WithRule(refuse.Rule{Path: "/system/classes/batch/max-wait", Version: 12, Limit: 60, Observed: 75.5}).
		WithRetryAfter(16 * time.Second)
	r.Request, r.Workspace, r.VM = "r-1", "installers", "vm-1"
	r.At = time.UnixMilli(1_800_000_000_123)
	return r
}

func TestCode(t *testing.T) {
	want := sample()
	code := refuse.Code(testKeyRing(t), want)
	t.Run("round trip", func(t *testing.T) {
		got, err := refuse.Decode(testKeyRing(t), code)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
	t.Run("altered code is not decoded", func(t *testing.T) {
		for i := range code {
			b := []byte(code)
			b[i] ^= 1
			_, err := refuse.Decode(testKeyRing(t), string(b))
			assert.Assert(t, errors.Is(err, seal.ErrForged), "byte %d", i)
		}
	})
	t.Run("detail that is not UTF-8 is left out", func(t *testing.T) {
		r := sample()
		r.Detail = "\xff"
		got, err := refuse.Decode(testKeyRing(t), refuse.Code(testKeyRing(t), r))
		assert.NilError(t, err)
		assert.Equal(t, got.Reason, r.Reason)
		assert.Equal(t, got.Ran, r.Ran)
	})
}

func TestReasons(t *testing.T) {
	for n := refuse.Unspecified; n <= refuse.HeaderTooLarge; n++ {
		t.Run(n.String(), func(t *testing.T) {
			assert.Assert(t, n.Status() >= 400 && n.Status() < 600)
			assert.Assert(t, n.Title() != "")
			assert.Equal(t, strings.ToLower(n.String()), n.String())
		})
	}
	assert.Equal(t, refuse.Reason(255).String(), "unspecified")
}

func ExampleRefusal_Explain() {
	fmt.Println(sample().Explain())
	// Output:
	// The wait would be longer than the class allows.
	// 41 requests wait before this one.
	// The limit was 60 and the figure at that moment 75.5; it was set at /system/classes/batch/max-wait, version 12.
	// The request never ran.
	// The caller was told to come back after 16s.
}
