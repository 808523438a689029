package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestACoordinatorThatIsNoMemberIsShown(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		shown  []string
	}{
		"removed": {
			`{"address":"127.0.0.2:1","replica":2,"member":false,"removed_at":12,"leader":"","leader_silent_ms":5100,"wanted_voters":3,` +
				`"members":[{"address":"127.0.0.1:1","replica":1,"voter":true},{"address":"127.0.0.2:1","replica":2,"voter":true}]}`,
			[]string{"removed at 12, the list is older", "2 voters of 3 wanted"},
		},
		"not added yet": {
			`{"address":"127.0.0.4:1","replica":4,"wanted_voters":3,"members":[]}`,
			[]string{"127.0.0.4:1", "waits to be added"},
		},
		"leader": {
			`{"address":"127.0.0.1:1","replica":1,"member":true,"leader":"127.0.0.1:1","wanted_voters":1,"members":[{"address":"127.0.0.1:1","replica":1,"voter":true,"heard":true}]}`,
			[]string{"leader 127.0.0.1:1", "yes"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			answering := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path != "/operator/v1/group" {
					writer.WriteHeader(http.StatusNotFound)
					return
				}
				_, _ = writer.Write([]byte(test.answer))
			}))
			defer answering.Close()
			var out, problems bytes.Buffer
			require.Zero(t, Run([]string{"group", "--coordinator", answering.Listener.Addr().String()}, Streams{Out: &out, Err: &problems}), problems.String())
			for _, shown := range test.shown {
				assert.Contains(t, out.String(), shown)
			}
		})
	}
}
