package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLimitsOfReplicasAreShown(t *testing.T) {
	coordinator := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/operator/v1/replica-limits" {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = writer.Write([]byte(`{"address":"10.0.0.1:7400","mode":"holding","replicas":[` +
			`{"replica":"i-7@3f","rate":5.9,"named_for_s":12.3,"sent":24,"refused":310,"room":-0.6,"window_s":4}]}`))
	}))
	defer coordinator.Close()
	var out, problems bytes.Buffer
	arguments := []string{"limit", "list", "--coordinator", coordinator.Listener.Addr().String()}
	require.Zero(t, Run(arguments, Streams{Out: &out, Err: &problems}), problems.String())
	for _, shown := range []string{"i-7@3f", "5.9/s", "12s", "24", "310", "-0.6", "4s", "10.0.0.1:7400", "holding"} {
		assert.Contains(t, out.String(), shown)
	}
}
