package crowd

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// paceClients send small requests one after the other, each on a connection that it keeps.
	paceClients = 16
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
)

// BenchmarkSmallRequests measures requests a second of one gateway, and its processor time a request. PIERHAVEN_CROWD_PROGRAM names
// another build to compare with.
func BenchmarkSmallRequests(b *testing.B) {
	r := startRegionOf(b, paceProgram(b), 284)
	used, began := r.gateway.processorTime(b), time.Now()
	b.ResetTimer()
	var running sync.WaitGroup
	for number := range paceClients {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for count := number; count < b.N; count += paceClients {
				request, err := http.NewRequest(http.MethodPost, "http://"+r.callers+callerPath, strings.NewReader(strings.Repeat("b", 600)))
				if err != nil {
					b.Error(err)
					return
				}
				request.Host = callerHost
				request.Header.Set("Pierhaven-Request-Id", fmt.Sprintf("pace-%d", count))
				request.Header.Set("Pierhaven-Deadline-Ms", "30000")
				answer, err := client.Do(request)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
		})
	}
	running.Wait()
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "requests/s")
	b.ReportMetric(float64((r.gateway.processorTime(b)-used).Microseconds())/float64(b.N), "cpu-us/request")
}

// paceProgram returns the program that is measured.
func paceProgram(b *testing.B) string {
	if other := os.Getenv("PIERHAVEN_CROWD_PROGRAM"); other != "" {
		return other
	}
	return build(b)
}

// processorTime returns the processor time that the process has used.
func (w *watched) processorTime(b *testing.B) time.Duration {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.pid))
	require.NoError(b, err)
	_, after, _ := strings.Cut(string(status), ") ")
	fields := strings.Fields(after)
	user, err := strconv.Atoi(fields[11])
	require.NoError(b, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(b, err)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}
