package region

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a gateway that polls a coordinator without a pause, since that one is behind and shows other new software.
func TestAGatewayIsAnsweredAtOnceOnlyWhereTheNewSoftwareIsNoOlder(t *testing.T) {
	software := []NewSoftware{{Service: "s", Version: "v2", Revision: 7}}
	state := State{ListRevision: 7, NewSoftware: software}
	assert.True(t, (&ViewRequest{Life: 1, ListRevision: 7}).LacksNewOrigins(&state))
	assert.False(t, (&ViewRequest{Life: 1, ListRevision: 7, NewSoftware: HashNewOrigins(software, nil)}).LacksNewOrigins(&state))
	assert.False(t, (&ViewRequest{Life: 1, ListRevision: 8}).LacksNewOrigins(&state), "the coordinator is behind")
	assert.False(t, (&ViewRequest{ListRevision: 7}).LacksNewOrigins(&state), "an earlier build")
	assert.NotEqual(t, HashNewOrigins(software, nil), HashNewOrigins([]NewSoftware{{Service: "s", Version: "v2", Revision: 8}}, nil))
	assert.Zero(t, HashNewOrigins(nil, nil))
}
