package store

import (
	"maps"
	"sync"
	"time"
)

// meter counts the calls of each caller, and the busiest second.
type meter struct {
	mu      sync.Mutex
	calls   map[string]int
	refused int // over the store's rates
	second  int64
	now     int // calls in that second
	peak    int
}

func (m *meter) note(caller string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[caller]++
	if s := at.Unix(); s != m.second {
		m.second, m.now = s, 0
	}
	m.now++
	m.peak = max(m.peak, m.now)
}

func (m *meter) refuse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused++
}

// Count is what the store was asked.
type Count struct {
	Calls   map[string]int // by caller
	Peak    int            // in the busiest second
	Refused int            // over the store's rates
}

func (m *meter) count() Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Count{Calls: maps.Clone(m.calls), Peak: m.peak, Refused: m.refused}
}
