package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

func versionEngine(id string, role engineapi.Role, version string) Engine {
	return Engine{ID: id, Address: id, Role: role, Model: "model", Version: version, Dispatchable: true}
}

// During the rollout of a version, the KV cache of one version can't be used by
// an engine with another.
func TestPairedEnginesHaveTheSameVersion(t *testing.T) {
	request := Request{Model: "model", PromptTokens: 4000, OutputTokens: 200}
	cases := []struct {
		name    string
		engines []Engine
		reason  NoEngineReason
	}{
		{"a prefill engine of each version", []Engine{
			versionEngine("p1", engineapi.RolePrefill, "1"), versionEngine("p2", engineapi.RolePrefill, "2"),
			versionEngine("d1", engineapi.RoleDecode, "1"), versionEngine("d2", engineapi.RoleDecode, "2"),
		}, EngineFound},
		{"the new decode engine has no prefill engine yet", []Engine{
			versionEngine("p1", engineapi.RolePrefill, "1"),
			versionEngine("d1", engineapi.RoleDecode, "1"), versionEngine("d2", engineapi.RoleDecode, "2"),
		}, EngineFound},
		{"mixed engines of the old version", []Engine{
			versionEngine("m1", engineapi.RoleMixed, "1"), versionEngine("m3", engineapi.RoleMixed, "1"),
			versionEngine("d2", engineapi.RoleDecode, "2"),
		}, EngineFound},
		{"no version has both roles", []Engine{
			versionEngine("p1", engineapi.RolePrefill, "1"), versionEngine("d2", engineapi.RoleDecode, "2"),
		}, NoPrefillEngine},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			for seed := range uint64(50) {
				router := New(DefaultOptions(), rand.New(rand.NewPCG(seed, 1)))
				router.SetEngines(each.engines)
				versions := map[string]string{}
				for _, engine := range each.engines {
					versions[engine.ID] = engine.Version
				}
				choice, reason := router.Select(0, request)
				require.Equal(t, each.reason, reason)
				if choice.Prefill != nil {
					require.Equal(t, versions[choice.Serving.ID], versions[choice.Prefill.ID])
				}
			}
		})
	}
}
