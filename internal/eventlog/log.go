package eventlog

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// Defaults of Options.
const (
	DefaultEntries      = 8192
	DefaultEntryBytes   = 2048
	DefaultMaxFiles     = 16
	DefaultDumpInterval = 30 * time.Second
	DefaultDumpBurst    = 4
)

// Options bound a Log. Zero values take the defaults.
type Options struct {
	// Process names the program in the dumps, such as "gateway hal-noord-1".
	Process string
	// Folder takes the dump files; empty means that dumps go to Fallback.
	Folder string
	// Entries is the number of records kept in memory.
	Entries int
	// EntryBytes bounds the text of one record.
	EntryBytes int
	// MaxFiles bounds the dump files kept in Folder; the oldest are removed.
	MaxFiles int
	// DumpInterval and DumpBurst limit the rate of dumps that errors ask for.
	// Dumps on request, on a panic and on SIGQUIT are not limited.
	DumpInterval time.Duration
	DumpBurst    int
	// Threshold is the least severity of an error that asks for a dump.
	// Default failure.SeverityAlarm.
	Threshold failure.Severity
	// Verbosity is the highest level of Info records that are kept.
	Verbosity int
	// Fallback takes the dumps where Folder is empty or can't be written.
	// Default os.Stderr.
	Fallback io.Writer
	// Now is the wall clock of the records. Default time.Now.
	Now func() time.Time
}

// Log is a ring of records with its dumps. All methods are safe for concurrent
// use.
type Log struct {
	options  Options
	ring     *ring
	limiter  *rate.Limiter
	requests chan string
	stop     chan struct{}
	stopped  sync.WaitGroup
	once     sync.Once

	dumpMutex  sync.Mutex
	dumped     uint64
	suppressed int
	files      int
}

// New returns a Log whose background writer runs until Close. It creates the
// folder.
func New(options Options) (*Log, error) {
	options = withDefaults(options)
	if options.Folder != "" {
		if err := os.MkdirAll(options.Folder, folderMode); err != nil {
			return nil, failure.Wrap(fmt.Errorf("log folder: %w", err), failure.StorageFailed)
		}
	}
	log := &Log{
		options:  options,
		ring:     newRing(options.Entries, options.EntryBytes),
		limiter:  rate.NewLimiter(rate.Every(options.DumpInterval), options.DumpBurst),
		requests: make(chan string, 1),
		stop:     make(chan struct{}),
	}
	log.stopped.Add(1)
	go log.write()
	return log, nil
}

func withDefaults(options Options) Options {
	setDefault(&options.Entries, DefaultEntries)
	setDefault(&options.EntryBytes, DefaultEntryBytes)
	setDefault(&options.MaxFiles, DefaultMaxFiles)
	setDefault(&options.DumpInterval, DefaultDumpInterval)
	setDefault(&options.DumpBurst, DefaultDumpBurst)
	setDefault(&options.Threshold, failure.SeverityAlarm)
	if options.Fallback == nil {
		options.Fallback = os.Stderr
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return options
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Logger returns the front of the log.
func (l *Log) Logger() logr.Logger {
	return logr.New(newSink(l, l.options.Verbosity))
}

// Records returns what the ring holds, oldest first.
func (l *Log) Records() []Record {
	records, _ := l.ring.after(0)
	return records
}

// Close writes a dump that was already asked for and ends the background
// writer. The log may still be used; errors then ask for no more dumps.
func (l *Log) Close() {
	l.once.Do(func() { close(l.stop) })
	l.stopped.Wait()
}

// requestDump asks the background writer for a dump and never blocks: a request
// that finds another one waiting is covered by it.
func (l *Log) requestDump(reason string) {
	select {
	case l.requests <- reason:
	default:
	}
}

func (l *Log) write() {
	defer l.stopped.Done()
	for {
		select {
		case reason := <-l.requests:
			l.dumpLimited(reason)
		case <-l.stop:
			l.drainRequests()
			return
		}
	}
}

func (l *Log) drainRequests() {
	select {
	case reason := <-l.requests:
		l.dumpLimited(reason)
	default:
	}
}
