package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes lines with the time since its start to a file.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path) //nolint:gosec // the path is an argument of the command
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
