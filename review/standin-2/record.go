package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// Add writes a line with the time since the start in seconds.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f ", time.Since(r.started).Seconds())
	_, _ = fmt.Fprintf(r.writer, format+"\n", values...)
}

// Note is like Add and also prints the line.
func (r *Record) Note(format string, values ...any) {
	r.Add(format, values...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, values...)...)
}

// Close flushes the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
