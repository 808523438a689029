package linelog_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/linelog"
)

// stuckWriter never returns from a write until it is released.
type stuckWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (w *stuckWriter) Write(data []byte) (int, error) {
	<-w.release
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.written.Write(data)
}

func (w *stuckWriter) lines() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return strings.Split(strings.TrimSpace(w.written.String()), "\n")
}

func TestALineIsOneJSONObjectWithItsValues(t *testing.T) {
	var written bytes.Buffer
	log := linelog.New(linelog.Options{Writer: &written, Process: "relay a"})
	log.Logger().Info("request refused", "request", "r-1", "reason", "line\nbreak")
	log.Logger().V(1).Info("too detailed")
	log.Close(10 * time.Second)
	var line map[string]any
	require.NoError(t, json.Unmarshal(written.Bytes(), &line))
	assert.Equal(t, "request refused", line["msg"])
	assert.Equal(t, "r-1", line["request"])
	assert.Equal(t, "relay a", line["process"])
}

func TestAReaderThatNeverReadsHoldsNobodyUp(t *testing.T) {
	writer := &stuckWriter{release: make(chan struct{})}
	log := linelog.New(linelog.Options{Writer: writer, Queue: 10, LinesPerSecond: 1_000_000})
	logger := log.Logger()
	for number := range 10_000 {
		logger.Info("line", "number", number)
	}
	assert.GreaterOrEqual(t, log.Dropped(), uint64(10_000-12))
	close(writer.release)
	log.Close(10 * time.Second)
	assert.LessOrEqual(t, len(writer.lines()), 14)
	assert.Contains(t, strings.Join(writer.lines(), "\n"), "log lines dropped")
}

func TestTheLinesOfASecondAreBounded(t *testing.T) {
	var written bytes.Buffer
	log := linelog.New(linelog.Options{Writer: &written, Queue: 100_000, LinesPerSecond: 100})
	begun := time.Now()
	for range 5000 {
		log.Logger().Info("line")
	}
	seconds := int(time.Since(begun).Seconds()) + 2
	log.Close(10 * time.Second)
	assert.LessOrEqual(t, strings.Count(written.String(), "\n"), 100*seconds+seconds)
}

// chattyWriter has more lines logged whenever one is written.
type chattyWriter struct {
	written bytes.Buffer
	logger  func()
}

func (w *chattyWriter) Write(data []byte) (int, error) {
	w.logger()
	return w.written.Write(data)
}

func TestDroppedLinesAreNotToldBeforeEveryLine(t *testing.T) {
	ready := make(chan struct{})
	writer := &chattyWriter{}
	log := linelog.New(linelog.Options{Writer: writer, Queue: 1000, LinesPerSecond: 100})
	logger := log.Logger()
	writer.logger = func() {
		<-ready
		logger.Info("dropped")
	}
	begun := time.Now()
	for range 5000 {
		logger.Info("line")
	}
	close(ready)
	log.Close(10 * time.Second)
	seconds := int(time.Since(begun).Seconds()) + 2
	assert.LessOrEqual(t, strings.Count(writer.written.String(), "log lines dropped"), seconds)
}
