package store

import (
	"maps"
	"sync"
	"time"
)

// callMeter counts the calls of each client and in the busiest second.
type callMeter struct {
	mu            sync.Mutex
	calls         map[string]int
	refused       int // over the rate limit
	currentSecond int64
	currentCalls  int // calls in currentSecond
	peakPerSecond int
}

func (m *callMeter) recordCall(client string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[client]++
	if s := at.Unix(); s != m.currentSecond {
		m.currentSecond, m.currentCalls = s, 0
	}
	m.currentCalls++
	m.peakPerSecond = max(m.peakPerSecond, m.currentCalls)
}

func (m *callMeter) recordRefusal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused++
}

// Counts holds the numbers of calls that the store has received.
type Counts struct {
	Calls         map[string]int // by client
	PeakPerSecond int            // in the busiest second
	Refused       int            // over the rate limit
}

func (m *callMeter) snapshot() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Counts{Calls: maps.Clone(m.calls), PeakPerSecond: m.peakPerSecond, Refused: m.refused}
}
