package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const heldDigest = "000102030405060708090a0b0c0d0e0f"

func TestHeldRequestsAreShownAndLetGo(t *testing.T) {
	var released []string
	coordinator := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case request.Method == http.MethodGet && request.URL.Path == "/operator/v1/held-requests":
			_, _ = writer.Write([]byte(`[{"digest":"` + heldDigest + `","replicas_ended":5,"first_end":"2026-01-01T00:00:00Z",` +
				`"last_end":"2026-01-01T00:00:03Z","held_since":"2026-01-01T00:00:04Z"}]`))
		case request.Method == http.MethodDelete && len(released) == 0:
			released = append(released, request.URL.Path)
			_, _ = writer.Write([]byte(`{}`))
		default:
			writer.WriteHeader(http.StatusNotFound)
			_, _ = writer.Write([]byte(`{"error":{"type":"not_found","message":"no request with this digest is held"}}`))
		}
	}))
	defer coordinator.Close()
	at := []string{"--coordinator", coordinator.Listener.Addr().String()}
	var out, problems bytes.Buffer
	streams := Streams{Out: &out, Err: &problems}
	require.Zero(t, Run(append([]string{"held", "list"}, at...), streams), problems.String())
	for _, shown := range []string{heldDigest, "5", "2026-01-01T00:00:03Z", "2026-01-01T00:00:04Z"} {
		assert.Contains(t, out.String(), shown)
	}
	require.Zero(t, Run(append([]string{"held", "release", heldDigest}, at...), streams), problems.String())
	assert.Equal(t, []string{"/operator/v1/held-requests/" + heldDigest}, released)
	assert.NotZero(t, Run(append([]string{"held", "release", heldDigest}, at...), streams))
	assert.Contains(t, problems.String(), "no request with this digest is held")
	assert.NotZero(t, Run(append([]string{"held", "release", "rubbish"}, at...), streams))
	assert.Contains(t, problems.String(), "32 hexadecimal digits")
	assert.NotZero(t, Run([]string{"held", "list", "--coordinator", "somewhere"}, streams))
	assert.Contains(t, problems.String(), "IP:port")
}
