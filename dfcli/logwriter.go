package dfcli

import (
	"io"
	"sync"

	"github.com/phuslu/log"
)

// logWriter writes log lines without blocking their writers. Lines that find the
// queue full, or the writer closed, are dropped: goroutines of a process that
// ends go on for a moment.
type logWriter struct {
	// mu keeps Close from closing the queue under a line.
	mu     sync.RWMutex
	closed bool
	queue  *log.AsyncWriter
}

func newLogWriter(out io.Writer) *logWriter {
	return &logWriter{queue: &log.AsyncWriter{ChannelSize: logQueue, DiscardOnFull: true, Writer: &log.IOWriter{Writer: out}}}
}

// WriteEntry takes a line.
func (w *logWriter) WriteEntry(entry *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, nil
	}
	return w.queue.WriteEntry(entry)
}

// Close writes the lines that wait.
func (w *logWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	return w.queue.Close()
}
