package task

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"umberladder/internal/policy/hold"
)

// zeros is a body without an end.
type zeros struct{ read int }

func (z *zeros) Read(p []byte) (int, error) {
	z.read += len(p)
	return len(p), nil
}

// nopCloser is a body that has nothing to close.
type nopCloser struct{ io.Reader }

func (nopCloser) Close() error { return nil }

func taskWithMemory(size int) *Task {
	return &Task{Deps: Deps{Held: hold.NewPool(hold.Limits{Memory: size})}}
}

// TestEndlessBody guards against bodies without an end that take a VM's memory, each by itself or
// several together.
func TestEndlessBody(t *testing.T) {
	t.Run("alone", func(t *testing.T) {
		body := &zeros{}
		_, err := taskWithMemory(2 * maxBody).readAll(nopCloser{body})
		assert.ErrorContains(t, err, "larger than")
		assert.Assert(t, body.read <= 2*maxBody, "%d bytes were read", body.read)
	})
	t.Run("beside others", func(t *testing.T) {
		first, body := taskWithMemory(1<<20), &zeros{}
		assert.NilError(t, first.Held.Account().Hold(hold.Responses, 1<<19))
		_, err := first.readAll(nopCloser{body})
		assert.Assert(t, errors.Is(err, hold.ErrExhausted), "%v", err)
		assert.Assert(t, body.read < 1<<20, "%d bytes were read", body.read)
		first.ReleaseResponse()
		assert.Equal(t, first.Held.Held(hold.Responses), 1<<19)
	})
}

// TestLargeBody checks that a body of the maximum size is read, and small ones while large ones
// hold all memory.
func TestLargeBody(t *testing.T) {
	for name, tc := range map[string]struct{ pool, size int }{
		"the largest":               {pool: maxBody, size: maxBody},
		"empty":                     {},
		"small, and no memory left": {size: hold.SmallBytes / 2},
		"a power of two":            {size: initialBody},
		"just over it":              {size: initialBody + 1},
	} {
		t.Run(name, func(t *testing.T) {
			want := strings.Repeat("x", tc.size)
			got, err := taskWithMemory(tc.pool).readAll(nopCloser{iotest.DataErrReader(strings.NewReader(want))})
			assert.NilError(t, err)
			assert.Assert(t, string(got) == want)
		})
	}
}
