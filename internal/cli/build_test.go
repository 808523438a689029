package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestBuildsAreShownOnOneScreen(t *testing.T) {
	coordinator := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/operator/v1/builds" {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = writer.Write([]byte(`{"leader":"c1","coordinators":[{"address":"c1","protocol":1,"revision":"abc"},{"address":"c2"}],` +
			`"gateways":[{"address":"g1","protocol":1,"revision":"abc"},{"address":"g2","protocol":1,"revision":"abc"},` +
			`{"address":"g3","protocol":1,"revision":"abc"},{"address":"g4","protocol":1,"revision":"abc"},{"address":"g5","protocol":1,"revision":"abc"}],` +
			`"gates":[{"name":"one","open":true},{"name":"two","waits_for":["c2"]}]}`))
	}))
	defer coordinator.Close()
	var out, problems bytes.Buffer
	arguments := []string{"build", "list", "--coordinator", coordinator.Listener.Addr().String()}
	require.Zero(t, Run(arguments, Streams{Out: &out, Err: &problems}), problems.String())
	for _, shown := range []string{"abc", "not told", "g1 g2 g3 g4 ...", "one: in force", "two: not in force, waits for 1: c2"} {
		assert.Contains(t, out.String(), shown)
	}
}
