package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTenantsAreShownWithoutTheirKeys(t *testing.T) {
	coordinator := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		assert.Equal(t, "/pierhaven/Config.Get", request.URL.Path)
		_, _ = writer.Write([]byte(`{"Version":3,"Tenants":[{"Name":"depot","ApiKeys":["secret-1","secret-2"],"Priority":1},{"Name":"floor"}]}`))
	}))
	defer coordinator.Close()
	var out, problems bytes.Buffer
	streams := Streams{Out: &out, Err: &problems}
	require.Zero(t, Run([]string{"tenants", "--coordinator", coordinator.Listener.Addr().String()}, streams), problems.String())
	assert.Contains(t, out.String(), "depot")
	assert.Contains(t, out.String(), "of the route")
	assert.NotContains(t, out.String(), "secret")
	assert.NotZero(t, Run([]string{"tenants", "--coordinator", "somewhere"}, streams))
	assert.Contains(t, problems.String(), "IP:port")
}
