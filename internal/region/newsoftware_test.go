package region

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a gateway that polls a coordinator without a pause, since that one is behind and shows other new software.
func TestAGatewayIsAnsweredAtOnceOnlyWhereTheNewSoftwareIsNoOlder(t *testing.T) {
	software := []NewSoftware{{Service: "s", Version: "v2", Revision: 7}}
	state := State{ListRevision: 7, NewSoftware: software}
	assert.True(t, (&ViewRequest{Life: 1, ListRevision: 7}).LacksNewSoftware(&state))
	assert.False(t, (&ViewRequest{Life: 1, ListRevision: 7, NewSoftware: HashNewSoftware(software)}).LacksNewSoftware(&state))
	assert.False(t, (&ViewRequest{Life: 1, ListRevision: 8}).LacksNewSoftware(&state), "the coordinator is behind")
	assert.False(t, (&ViewRequest{ListRevision: 7}).LacksNewSoftware(&state), "an earlier build")
	assert.NotEqual(t, HashNewSoftware(software), HashNewSoftware([]NewSoftware{{Service: "s", Version: "v2", Revision: 8}}))
	assert.Zero(t, HashNewSoftware(nil))
}
