// Package check provides assertions and settings that the tests share.
package check

import (
	"errors"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/state/config"
)

// Invariants fails the test if any invariant was violated.
func Invariants(t testing.TB, checker *invar.Checker) {
	t.Helper()
	for _, n := range invar.All() {
		assert.Equal(t, checker.Count(n), uint64(0), "violations of %s", n)
	}
}

// Refusal fails the test unless r has the given reason and states ran as whether the
// request ran.
func Refusal(t testing.TB, r *refuse.Refusal, reason refuse.Reason, ran refuse.Ran) {
	t.Helper()
	assert.Assert(t, r != nil, "no refusal")
	assert.Equal(t, r.Reason.String(), reason.String(), r.Detail)
	assert.Equal(t, r.Ran.String(), ran.String(), r.Detail)
}

// FieldError fails the test unless err is a config.FieldError for the field at
// path whose Want contains want.
func FieldError(t testing.TB, err error, path, want string) {
	t.Helper()
	var f *config.FieldError
	assert.Assert(t, errors.As(err, &f), "%v is not a FieldError", err)
	assert.Equal(t, f.Path, path, f.Want)
	assert.Assert(t, strings.Contains(f.Want, want), "%q does not contain %q", f.Want, want)
}

// Eventually polls ok and fails the test unless it returns true within d.
func Eventually(t testing.TB, d time.Duration, desc string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(d); ; time.Sleep(d / 200) {
		if ok() {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", d, desc)
		}
	}
}

// HeapInUse returns the number of bytes allocated on the heap after a garbage
// collection.
func HeapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
