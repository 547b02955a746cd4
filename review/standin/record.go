package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happens to a file, with the seconds since the start.
type recorder struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	writer *bufio.Writer
}

var record recorder

func (r *recorder) open(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	r.began, r.file, r.writer = time.Now(), file, bufio.NewWriter(file)
	return nil
}

func (r *recorder) add(what, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f %-9s %s\n", time.Since(r.began).Seconds(), what, text)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}

// seconds returns a time as in the record.
func (r *recorder) seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }
