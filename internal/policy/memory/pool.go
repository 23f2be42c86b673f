package memory

import (
	"errors"
	"sync/atomic"
)

// Free is what each response may hold without drawing on the pool, in bytes. Ordinary responses
// and events are smaller, so that large ones cannot crowd them out.
const Free = 64 << 10

// ErrExhausted reports that large responses already hold the whole pool.
var ErrExhausted = errors.New("memory: too many large responses are held")

// Pool is the memory that large responses share, without the first Free bytes of each. It is safe
// for concurrent use.
type Pool struct {
	size int64 // bytes
	held atomic.Int64
}

// NewPool returns a pool of the given size in bytes.
func NewPool(size int) *Pool { return &Pool{size: int64(size)} }

// Held returns how many bytes are drawn from the pool.
func (p *Pool) Held() int { return int(p.held.Load()) }

func (p *Pool) take(n int64) bool {
	if p.held.Add(n) <= p.size {
		return true
	}
	p.held.Add(-n)
	return false
}

// Account is what one response holds. It is not safe for concurrent use.
type Account struct {
	pool *Pool
	held int64 // drawn from the pool
}

// Account returns an empty account on the pool.
func (p *Pool) Account() *Account { return &Account{pool: p} }

// Hold states that the response now holds n bytes, more or fewer than before. It returns
// ErrExhausted, and leaves the account as it was, if the pool has too little left.
func (a *Account) Hold(n int) error {
	held := max(int64(n)-Free, 0)
	if !a.pool.take(held - a.held) {
		return ErrExhausted
	}
	a.held = held
	return nil
}

// Release states that the response holds nothing any more.
func (a *Account) Release() {
	a.pool.held.Add(-a.held)
	a.held = 0
}
