package retry

import "sync"

const (
	// retriesPerAttempt is the number of retries that each first attempt adds to the
	// budget.
	retriesPerAttempt = 0.1
	// maxBalance is the capacity of the budget and its initial balance, which a VM without
	// traffic may spend.
	maxBalance = 10.0
)

// Budget bounds the retries of one VM to a fraction of its first attempts, so that a
// failing service does not get much more traffic than a healthy one. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	balance float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{balance: maxBalance} }

// RecordFirstAttempt records a first attempt, which adds to the budget.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retriesPerAttempt, maxBalance)
}

// AllowRetry takes one retry from the budget. It returns false if the budget is used up.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
