package retry

import "sync"

const (
	// retryShare is how many retries each first attempt pays for.
	retryShare = 0.1
	// retryFloor is what a quiet VM may spend before it has any traffic.
	retryFloor = 10.0
)

// Budget bounds retries to a share of first attempts, so that a failing
// service is not met with more traffic than a healthy one. It is safe for use
// by several goroutines.
type Budget struct {
	mu    sync.Mutex
	level float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{level: retryFloor} }

// Earn notes a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+retryShare, retryFloor)
}

// Spend takes one retry out of the budget; false if there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
