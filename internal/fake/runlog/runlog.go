// Package runlog records what a fake server ran, so that a test can compare it with
// what the system reported. A log in a file outlives the fake's process.
package runlog

import (
	"bufio"
	"maps"
	"os"
	"strings"
	"sync"

	"github.com/gravitational/trace"
)

// Log counts the runs of each tag. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	runs map[string]int
	file *os.File
}

// New returns an empty log that is kept in memory only.
func New() *Log { return &Log{runs: map[string]int{}} }

// Open returns a log that also appends each run to the file at path. If path is
// empty, the log is kept in memory only.
func Open(path string) (*Log, error) {
	l := New()
	if path == "" {
		return l, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	l.file = f
	return l, nil
}

// Add records one run of the tag. It is called before the run starts.
func (l *Log) Add(tag string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[tag]++
	if l.file == nil {
		return nil
	}
	_, err := l.file.WriteString(tag + "\n")
	return trace.ConvertSystemError(err)
}

// Runs returns how often the tag ran.
func (l *Log) Runs(tag string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[tag]
}

// All returns the number of runs of each tag.
func (l *Log) All() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// Read returns the number of runs of each tag in the files at paths. Files that
// do not exist are skipped.
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
