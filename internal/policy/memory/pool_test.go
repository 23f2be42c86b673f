package memory

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

func ExampleAccount_Hold() {
	p := NewPool(1 << 20)
	a, b, c := p.Account(), p.Account(), p.Account()
	fmt.Println(a.Hold(Free+1<<20), p.Held())
	fmt.Println(b.Hold(Free), c.Hold(Free+1))
	a.Release()
	fmt.Println(c.Hold(Free+1), p.Held())
	// Output:
	// <nil> 1048576
	// <nil> memory: too many large responses are held
	// <nil> 1
}

// TestBound checks that accounts never hold more than the pool, that one within the free part is
// never refused, and that nothing is left once all are released.
func TestBound(t *testing.T) {
	const size = 1 << 20
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool(size)
		accounts := make([]*Account, 8)
		for i := range accounts {
			accounts[i] = p.Account()
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			a := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			n := rapid.IntRange(0, size).Draw(t, "bytes")
			err := a.Hold(n)
			assert.Assert(t, err == nil || errors.Is(err, ErrExhausted) && n > Free)
			assert.Assert(t, p.Held() >= 0 && p.Held() <= size)
		}
		for _, a := range accounts {
			a.Release()
		}
		assert.Equal(t, p.Held(), 0)
	})
}
