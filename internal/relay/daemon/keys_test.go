package daemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/tenant"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// headerRecorder records the header fields of the requests that a replica has run.
type headerRecorder struct {
	mutex sync.Mutex
	seen  []http.Header
}

func (s *headerRecorder) handler() http.HandlerFunc {
	answer := streaming(1, false)
	return func(writer http.ResponseWriter, request *http.Request) {
		s.mutex.Lock()
		s.seen = append(s.seen, request.Header.Clone())
		s.mutex.Unlock()
		answer(writer, request)
	}
}

func (s *headerRecorder) last() http.Header {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.seen[len(s.seen)-1]
}

// newViewWithTenants returns a view with the given keys by tenant name, one route that requires
// keys and one that does not.
func newViewWithTenants(t *testing.T, version uint64, replica string, tenants map[string][]string) region.View {
	t.Helper()
	view := newView(t, version, replica)
	whole := []traffic.Part{{Service: "service", Weight: 1}}
	configuration := &traffic.Configuration{
		Version: version,
		Routes: []traffic.Route{
			{Name: "closed", Host: "h.example", PathPrefix: "/closed/", Kind: traffic.KindStream, MaximumAttempts: 1, Split: whole},
			{Name: "open", Host: "h.example", PathPrefix: "/open/", Kind: traffic.KindStream, MaximumAttempts: 1, Split: whole, Open: true},
		},
		Services: []traffic.Service{{Name: "service"}},
	}
	for name, keys := range tenants {
		added := traffic.Tenant{Name: name}
		for _, key := range keys {
			added.Keys = append(added.Keys, tenant.DigestOf([]byte(key)))
		}
		configuration.Tenants = append(configuration.Tenants, added)
	}
	document, err := json.Marshal(configuration)
	require.NoError(t, err)
	view.Document = region.Deflate(document)
	return view
}

// postWithKey sends a request over a client, with an Authorization field unless authorization is
// empty.
func (g *gateway) postWithKey(client *http.Client, path, authorization string) int {
	g.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+g.address+path, strings.NewReader("body"))
	require.NoError(g.t, err)
	request.Host = "h.example"
	request.Header.Set("Request", "r-1")
	request.Header.Set("Tenant", "forged")
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	answer, err := client.Do(request)
	require.NoError(g.t, err)
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode
}

func TestARequestRunsForTheTenantOfItsKeyAlone(t *testing.T) {
	recorder := &headerRecorder{}
	view := newViewWithTenants(t, 3, startReplica(t, recorder.handler()), map[string][]string{"depot": {"key-1", "key-2"}, "floor": {"key-3"}})
	g := startGateway(t, startCoordinator(t, view))
	g.awaitReadiness(http.StatusOK)
	for _, test := range []struct {
		path, authorization string
		status              int
		tenant              string
	}{
		{"/closed/x", "Bearer key-1", http.StatusOK, "depot"},
		{"/closed/x", "bearer key-2", http.StatusOK, "depot"},
		{"/closed/x", "Bearer key-3", http.StatusOK, "floor"},
		{"/closed/x", "Bearer key-4", http.StatusUnauthorized, ""},
		{"/closed/x", "Basic key-1", http.StatusUnauthorized, ""},
		{"/closed/x", "Bearer ", http.StatusUnauthorized, ""},
		{"/closed/x", "", http.StatusUnauthorized, ""},
		{"/open/x", "", http.StatusOK, ""},
		{"/open/x", "Bearer key-3", http.StatusOK, "floor"},
	} {
		before := len(recorder.seen)
		assert.Equal(t, test.status, g.postWithKey(http.DefaultClient, test.path, test.authorization), "%s %q", test.path, test.authorization)
		if test.status != http.StatusOK {
			assert.Len(t, recorder.seen, before, "a replica has run %q", test.authorization)
			continue
		}
		assert.Equal(t, test.tenant, recorder.last().Get("Tenant"), "%s %q", test.path, test.authorization)
		assert.Empty(t, recorder.last().Get("Authorization"), "%s %q", test.path, test.authorization)
	}
}

func TestRevokedKeyIsRefusedOnOpenConnections(t *testing.T) {
	recorder := &headerRecorder{}
	replica := startReplica(t, recorder.handler())
	coordinator := startCoordinator(t, newViewWithTenants(t, 3, replica, map[string][]string{"depot": {"key-1"}}))
	g := startGateway(t, coordinator)
	g.awaitReadiness(http.StatusOK)
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	require.Equal(t, http.StatusOK, g.postWithKey(kept, "/closed/x", "Bearer key-1"))

	later := newViewWithTenants(t, 4, replica, map[string][]string{"depot": {"key-2"}})
	coordinator.update(func(view *region.View) { *view = later })
	require.Eventually(t, func() bool {
		return g.postWithKey(kept, "/closed/x", "Bearer key-2") == http.StatusOK
	}, 30*time.Second, 5*time.Millisecond)
	assert.Equal(t, http.StatusUnauthorized, g.postWithKey(kept, "/closed/x", "Bearer key-1"))
}

func TestAnUnknownKeyIsNotRefusedForGoodWhileTheViewIsOld(t *testing.T) {
	replica := startReplica(t, streaming(1, false))
	coordinator := startCoordinator(t, newViewWithTenants(t, 3, replica, map[string][]string{"depot": {"key-1"}}))
	g := startGateway(t, coordinator)
	g.awaitReadiness(http.StatusOK)
	require.Equal(t, http.StatusUnauthorized, g.postWithKey(http.DefaultClient, "/closed/x", "Bearer key-2"))
	coordinator.update(func(view *region.View) { view.AgeMillis = 60_000 })
	require.Eventually(t, func() bool {
		return g.postWithKey(http.DefaultClient, "/closed/x", "Bearer key-2") == http.StatusServiceUnavailable
	}, 30*time.Second, 5*time.Millisecond)
	assert.Equal(t, http.StatusOK, g.postWithKey(http.DefaultClient, "/closed/x", "Bearer key-1"), "known keys are still accepted")
}
