package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

const (
	// deafRequests are enough to fill the pipe and the queue of lines many times.
	deafRequests = 1500
	// deafGrowth bounds the growth of a process's memory between a third of the
	// requests and all of them, in MiB.
	deafGrowth = 24
)

func TestALogThatNobodyReadsHoldsNoRequestUp(t *testing.T) {
	const subnet = 252
	f := newSoundFleet(t, subnet)
	deaf := f.gateways[0]
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = reader.Close() }()
	_ = deaf.log.Close()
	deaf.log = writer
	require.NoError(t, f.start())
	client := newClient()
	document := platformtest.Configuration(1, []platformtest.Route{{Name: "once", Host: host, Prefix: "/once/", Service: "service"}})
	require.Eventually(t, func() bool {
		status, err := platformtest.Replace(t.Context(), client, f.coordinators[0].address, document)
		return err == nil && status == http.StatusOK
	}, time.Minute, 50*time.Millisecond)
	call := func(id string) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		answer, err := platformtest.Call(ctx, client, deaf.address, host, "/once/x", id, 5*time.Second)
		return err == nil && answer.Status == http.StatusOK
	}
	attempt := 0
	require.Eventually(t, func() bool {
		attempt++
		return call(fmt.Sprint("warm-", attempt))
	}, time.Minute, 50*time.Millisecond)
	memory := 0
	for number := range deafRequests {
		require.True(t, call(fmt.Sprint("r-", number)), "request %d", number)
		if number == deafRequests/3 {
			memory = residentMegabytes(t, deaf)
		}
	}
	assert.Less(t, residentMegabytes(t, deaf), memory+deafGrowth)
	assert.Positive(t, metric(t, fmt.Sprintf("http://%s:%d/metrics", f.ip(coordinators), metricsPort), "pierhaven_relay_log_lines_dropped"))
}

// newSoundFleet lays out a fleet whose replicas answer all that they are asked.
func newSoundFleet(t *testing.T, subnet uint64) *fleet {
	t.Helper()
	folder := t.TempDir()
	f, err := newFleet(Options{Seed: subnet, Binary: buildProgram(t, folder), Folder: folder}, func(_ int, request platformtest.Request) platformtest.Reply {
		return platformtest.Reply{Status: http.StatusOK, Body: bodyFor(request.ID)}
	}, platformtest.EngineWatch{}, nil)
	t.Cleanup(f.stop)
	require.NoError(t, err)
	return f
}

// residentMegabytes is the memory that a process has in use, in MiB.
func residentMegabytes(t *testing.T, p *process) int {
	t.Helper()
	held := p.memoryMegabytes("VmRSS:")
	require.Positive(t, held, "it runs, and its status can be read")
	return held
}

// metric reads one gauge of a metrics page.
func metric(t *testing.T, address, name string) float64 {
	t.Helper()
	answer, err := http.Get(address)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(answer.Body)
	require.NoError(t, err)
	require.Contains(t, families, name)
	return families[name].GetMetric()[0].GetGauge().GetValue()
}
