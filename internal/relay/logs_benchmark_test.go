package relay_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/linelog"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// countingWriter counts the bytes written to it.
type countingWriter struct{ bytes atomic.Int64 }

func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytes.Add(int64(len(data)))
	return len(data), nil
}

// BenchmarkLogs compares a request without logs, with logs of failures and changes only, and with a line
// for each decision:
//
//	go test ./internal/relay -run NONE -bench Logs -benchmem
func BenchmarkLogs(b *testing.B) {
	const unbounded = 1 << 30
	for _, mode := range []struct {
		name      string
		verbosity int
	}{{"off", -1}, {"failures", 0}, {"decisions", 1}} {
		b.Run(mode.name, func(b *testing.B) {
			written := &countingWriter{}
			logger := logr.Discard()
			log := linelog.New(linelog.Options{Writer: written, Verbosity: mode.verbosity, LinesPerSecond: unbounded})
			if mode.verbosity >= 0 {
				logger = log.Logger()
			}
			w := newLoggedTestEnvironment(b, logger)
			w.addReplica("a", "", respondSealed(http.StatusOK, "answer"))
			b.ReportAllocs()
			for b.Loop() {
				require.Equal(b, http.StatusOK, w.runCall(newCall(traffic.KindOnce, 1)).status)
			}
			log.Close(10 * time.Second)
			b.ReportMetric(float64(written.bytes.Load())/float64(b.N), "log-B/op")
		})
	}
}
