package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

// buildProgram builds the product's program into a folder.
func buildProgram(t *testing.T, folder string) string {
	t.Helper()
	binary := filepath.Join(folder, "pierhaven")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/pierhaven").CombinedOutput()
	require.NoError(t, err, "%s", output)
	return binary
}

// failures are requests by their ids, with what the replicas do to them.
var failures = map[string]platformtest.Reply{
	"refused": {Status: http.StatusServiceUnavailable, NotRun: true},
	"unknown": {Drop: true},
	"broken":  {Status: http.StatusOK, Events: []string{"one", "two"}, Drop: true},
}

func TestTheCauseOfAFailureIsFoundFromItsIDInTheLogsOfRealProcesses(t *testing.T) {
	folder := t.TempDir()
	binary := buildProgram(t, folder)
	const subnet = 251
	f, err := newFleet(Options{Seed: subnet, Binary: binary, Folder: folder}, func(_ int, request platformtest.Request) platformtest.Reply {
		if reply, found := failures[request.ID]; found {
			return reply
		}
		return platformtest.Reply{Status: http.StatusOK, Body: bodyFor(request.ID)}
	}, platformtest.EngineWatch{}, nil)
	defer f.stop()
	require.NoError(t, err)
	require.NoError(t, f.start())
	document := platformtest.Configuration(1, []platformtest.Route{
		{Name: "once", Host: host, Prefix: "/once/", Service: "service"},
		{Name: "stream", Host: host, Prefix: "/stream/", Service: "service", Streaming: true},
	})
	client := newClient()
	require.Eventually(t, func() bool {
		status, err := platformtest.Replace(t.Context(), client, f.coordinators[0].address, document)
		return err == nil && status == http.StatusOK
	}, time.Minute, 50*time.Millisecond)
	gateway := f.gateways[0].address
	call := func(path, id string) (platformtest.Answer, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		return platformtest.Call(ctx, client, gateway, host, path, id, 5*time.Second)
	}
	attempt := 0
	require.Eventually(t, func() bool {
		attempt++
		answer, err := call("/once/x", fmt.Sprint("warm-", attempt))
		return err == nil && answer.Status == http.StatusOK
	}, time.Minute, 50*time.Millisecond)

	refused, err := call("/once/x", "refused")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, refused.Status)
	unknown, err := call("/once/x", "unknown")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, unknown.Status)
	_, err = call("/stream/x", "broken")
	require.Error(t, err, "a broken stream must not look complete")

	for id, says := range map[string]string{
		"refused": "was refused with status 503",
		"unknown": "was refused with status 502 (outcome_unknown) because the request may have run",
		"broken":  "had its stream broken off",
	} {
		assert.Contains(t, explained(t, binary, id, f, says), says)
	}
	checkMetrics(t, fmt.Sprintf("http://%s:%d/metrics", f.ip(coordinators), metricsPort))
	checkMetrics(t, fmt.Sprintf("http://%s:%d/metrics", f.ip(0), metricsPort))
}

// explained runs the command that explains a request, until the logs have reached
// their files.
func explained(t *testing.T, binary, id string, f *fleet, says string) string {
	t.Helper()
	arguments := []string{"explain", id}
	for _, each := range f.all() {
		arguments = append(arguments, "--logs", each.log.Name())
	}
	var output []byte
	require.Eventually(t, func() bool {
		var err error
		output, err = exec.Command(binary, append(arguments, "-o", "json")...).Output()
		return err == nil && strings.Contains(string(output), says)
	}, time.Minute, 50*time.Millisecond, "%s", lastOutput{&output})
	return string(output)
}

// lastOutput prints an output as it is when it is printed.
type lastOutput struct{ output *[]byte }

func (l lastOutput) String() string { return string(*l.output) }

// checkMetrics parses a metrics page and looks each of the product's series up on
// the operations page.
func checkMetrics(t *testing.T, address string) {
	t.Helper()
	answer, err := http.Get(address)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	require.Equal(t, http.StatusOK, answer.StatusCode)
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(io.Reader(answer.Body))
	require.NoError(t, err)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for name := range families {
		short := strings.TrimPrefix(name, "pierhaven_coordinator")
		if strings.HasPrefix(name, "pierhaven_") {
			assert.True(t, strings.Contains(string(page), name) || short != name && strings.Contains(string(page), "`"+short), name)
		}
	}
}
