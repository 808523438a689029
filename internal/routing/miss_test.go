package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// TestNoEngineReasonAgreesWithSelect: NoEngineReason finds the reason without
// rating engines, and must return the same one as Select.
func TestNoEngineReasonAgreesWithSelect(t *testing.T) {
	seen := map[NoEngineReason]bool{}
	rapid.Check(t, func(t *rapid.T) {
		var engines []Engine
		for number := range rapid.IntRange(0, 4).Draw(t, "engines") {
			role := rapid.SampledFrom([]engineapi.Role{engineapi.RolePrefill, engineapi.RoleDecode, engineapi.RoleMixed}).Draw(t, "role")
			engine := engineOf(fmt.Sprint(number), role)
			engine.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
			engine.Dispatchable = rapid.IntRange(0, 4).Draw(t, "dispatchable") > 0
			engine.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			engines = append(engines, engine)
		}
		f := newFixture(engines...)
		for _, engine := range engines {
			if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
				for attempt := range 10 {
					id := fmt.Sprint(engine.ID, "-", attempt)
					f.router.AttemptStarted(f.now, engine.ID, id, 100, 200)
					f.router.AttemptEnded(f.now, engine.ID, id, OutcomeFailed)
				}
			}
		}
		wanted := request(300)
		wanted.Prefilled = rapid.Bool().Draw(t, "prefilled")
		wanted.Version = rapid.SampledFrom([]string{"", "1"}).Draw(t, "wanted version")
		if rapid.Bool().Draw(t, "isolated") {
			wanted.OnlyEngines = []string{"0", "2"}
		}
		_, reason := f.router.Select(f.now, wanted)
		require.Equal(t, reason, f.router.NoEngineReason(f.now, wanted))
		seen[reason] = true
	})
	require.Len(t, seen, int(NoPrefillEngine)+1, "every reason was drawn")
}
