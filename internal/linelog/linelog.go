// Package linelog writes structured logs, one JSON object a line, without ever
// holding up its callers.
//
// Lines wait in a bounded queue for one writer. When the queue is full, or when
// more lines come in a second than are allowed, a line is dropped and counted; the
// next line that is written is preceded by one that tells how many were dropped.
package linelog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// Defaults of Options.
const (
	DefaultQueue          = 1024
	DefaultLinesPerSecond = 500
)

// Options are the settings of a Log; zero values take the defaults.
type Options struct {
	Writer io.Writer
	// Process names the process in every line.
	Process string
	// Verbosity is the highest level that is written.
	Verbosity int
	// Queue bounds the lines that wait for the writer.
	Queue int
	// LinesPerSecond bounds the lines of each second.
	LinesPerSecond int
}

// Log is a bounded log. It may be used concurrently.
type Log struct {
	options Options
	lines   chan string
	done    chan struct{}
	dropped atomic.Uint64
	total   atomic.Uint64

	mutex  sync.Mutex
	second int64
	count  int
	closed bool
}

// New starts a log.
func New(options Options) *Log {
	if options.Queue == 0 {
		options.Queue = DefaultQueue
	}
	if options.LinesPerSecond == 0 {
		options.LinesPerSecond = DefaultLinesPerSecond
	}
	log := &Log{options: options, lines: make(chan string, options.Queue), done: make(chan struct{})}
	go log.write()
	return log
}

// Logger returns the logger that writes to the log.
func (l *Log) Logger() logr.Logger {
	logger := funcr.NewJSON(l.add, funcr.Options{
		LogTimestamp:    true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		Verbosity:       l.options.Verbosity,
	})
	return logger.WithValues("process", l.options.Process)
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() uint64 { return l.total.Load() }

// add never blocks.
func (l *Log) add(line string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed || !l.allowed(time.Now().Unix()) {
		l.drop()
		return
	}
	select {
	case l.lines <- line:
	default:
		l.drop()
	}
}

func (l *Log) allowed(second int64) bool {
	if second != l.second {
		l.second = second
		l.count = 0
	}
	l.count++
	return l.count <= l.options.LinesPerSecond
}

func (l *Log) drop() {
	l.dropped.Add(1)
	l.total.Add(1)
}

// noteInterval is the least time between two lines that tell of dropped ones, but for the
// last of a log.
const noteInterval = time.Second

func (l *Log) write() {
	defer close(l.done)
	var nextNote time.Time
	for line := range l.lines {
		if now := time.Now(); now.After(nextNote) && l.noteDropped() {
			nextNote = now.Add(noteInterval)
		}
		_, _ = io.WriteString(l.options.Writer, line+"\n")
	}
	l.noteDropped()
}

// noteDropped writes how many lines were dropped since it was last told, and reports
// whether there were any.
func (l *Log) noteDropped() bool {
	dropped := l.dropped.Swap(0)
	if dropped == 0 {
		return false
	}
	_, _ = fmt.Fprintf(l.options.Writer, "{\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	return true
}

// Close writes what waits and ends the log, within a time.
func (l *Log) Close(timeout time.Duration) {
	l.mutex.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mutex.Unlock()
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}
