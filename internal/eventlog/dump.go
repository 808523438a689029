package eventlog

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
)

const (
	folderMode = 0o750
	fileMode   = 0o640
	filePrefix = "eventlog-"
	fileSuffix = ".log"
	timeLayout = "2006-01-02T15:04:05.000000Z07:00"
	// fileTimeLayout sorts by name in the order of time.
	fileTimeLayout = "20060102T150405.000000000"
)

// Dump writes the records that no earlier dump has written, synced, and
// returns the path of the file, or "" if they went to the fallback writer.
// A folder that can't be written is reported, with the records still going to
// the fallback.
func (l *Log) Dump(reason string) (path string, err error) {
	l.dumpMutex.Lock()
	defer l.dumpMutex.Unlock()
	return l.dumpLocked(reason)
}

// DumpOnPanic writes the ring when the calling goroutine panics and lets the
// panic go on. Use it as `defer log.DumpOnPanic()`.
func (l *Log) DumpOnPanic() {
	if cause := recover(); cause != nil {
		_, _ = l.Dump(fmt.Sprintf("panic: %v", cause))
		panic(cause)
	}
}

func (l *Log) dumpLimited(reason string) {
	l.dumpMutex.Lock()
	defer l.dumpMutex.Unlock()
	if !l.limiter.AllowN(l.options.Now(), 1) {
		l.suppressed++
		return
	}
	_, _ = l.dumpLocked(reason)
}

func (l *Log) dumpLocked(reason string) (string, error) {
	records, overwritten := l.ring.after(l.dumped)
	content := l.render(reason, records, overwritten)
	path, err := l.writeFile(content)
	if path == "" {
		_, _ = io.WriteString(l.options.Fallback, content)
	}
	if len(records) > 0 {
		l.dumped = records[len(records)-1].Sequence
	}
	l.suppressed = 0
	return path, err
}

func (l *Log) render(reason string, records []Record, overwritten uint64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# %s pid %d: %s\n", l.options.Process, os.Getpid(), reason)
	fmt.Fprintf(&text, "# %d records, %d overwritten before they were written, %d dumps suppressed\n",
		len(records), overwritten, l.suppressed)
	for _, record := range records {
		text.WriteString(record.Time.UTC().Format(timeLayout))
		text.WriteByte(' ')
		text.WriteString(level(record))
		text.WriteByte(' ')
		text.WriteString(record.Text)
		text.WriteByte('\n')
	}
	return text.String()
}

func level(record Record) string {
	if record.Error {
		return "error"
	}
	return "info"
}

// writeFile writes and syncs one dump file. The path is empty if the folder is
// not set or the file is not whole.
func (l *Log) writeFile(content string) (string, error) {
	if l.options.Folder == "" {
		return "", nil
	}
	l.files++
	name := fmt.Sprintf("%s%s-%d-%06d%s", filePrefix, stamp(l.options.Now()), os.Getpid(), l.files, fileSuffix)
	path := filepath.Join(l.options.Folder, name)
	if err := writeSynced(path, content); err != nil {
		return "", failure.Wrap(fmt.Errorf("write log dump: %w", err), failure.StorageFailed)
	}
	return path, l.removeOldFiles()
}

func stamp(at time.Time) string {
	return strings.Replace(at.UTC().Format(fileTimeLayout), ".", "-", 1)
}

func writeSynced(path, content string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer file.Close()
	writer := bufio.NewWriter(file)
	if _, err := writer.WriteString(content); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

func (l *Log) removeOldFiles() error {
	paths, err := filepath.Glob(filepath.Join(l.options.Folder, filePrefix+"*"+fileSuffix))
	if err != nil {
		return err
	}
	sort.Strings(paths)
	for len(paths) > l.options.MaxFiles {
		if err := os.Remove(paths[0]); err != nil {
			return failure.Wrap(fmt.Errorf("remove old log dump: %w", err), failure.StorageFailed)
		}
		paths = paths[1:]
	}
	return nil
}
