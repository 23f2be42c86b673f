// Package record keeps what a stand-in server ran, so that a test can hold the
// system's words against it. With a file the record outlives the stand-in.
package record

import (
	"bufio"
	"maps"
	"os"
	"strings"
	"sync"

	"github.com/gravitational/trace"
)

// Record counts the runs of each tag. It is safe for use by several
// goroutines.
type Record struct {
	mu   sync.Mutex
	runs map[string]int
	file *os.File
}

// New returns an empty record in memory.
func New() *Record { return &Record{runs: map[string]int{}} }

// Open returns a record that also appends each run to a file.
func Open(path string) (*Record, error) {
	r := New()
	if path == "" {
		return r, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	r.file = f
	return r, nil
}

// Add notes one run of the tag, before it starts.
func (r *Record) Add(tag string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[tag]++
	if r.file == nil {
		return nil
	}
	_, err := r.file.WriteString(tag + "\n")
	return trace.ConvertSystemError(err)
}

// Runs returns how often the tag ran.
func (r *Record) Runs(tag string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[tag]
}

// All returns the runs of every tag.
func (r *Record) All() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

// Read adds up the runs in record files.
func Read(paths []string) (map[string]int, error) {
	runs := map[string]int{}
	for _, path := range paths {
		f, err := os.Open(path)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		s := bufio.NewScanner(f)
		for s.Scan() {
			runs[strings.TrimSpace(s.Text())]++
		}
		err = s.Err()
		_ = f.Close()
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return runs, nil
}
