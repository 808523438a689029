package regional_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/config/regional"
)

func policyFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "policy.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestAPolicyIsReadFromItsFile(t *testing.T) {
	opened, err := regional.OpenPolicy(policyFile(t, "name: calm\nrole_change:\n  maximum_away: 2\n"), logr.Discard())
	require.NoError(t, err)
	assert.Equal(t, 2, opened.Program().Document().RoleChange.MaximumAway)

	none, err := regional.OpenPolicy("", logr.Discard())
	require.NoError(t, err)
	assert.Nil(t, none.Program())
}

func TestAnInvalidPolicyIsRefusedWithItsFileAndField(t *testing.T) {
	for text, says := range map[string]string{
		"name: x\nrole_change:\n  condition: \"change.nothing > 1\"\n": "role_change.condition",
		"name: x\nrole_changes: {}\n":                                  "role_changes",
		"role_change: {}\n":                                            "name",
	} {
		path := policyFile(t, text)
		_, err := regional.OpenPolicy(path, logr.Discard())
		require.ErrorContains(t, err, says)
		assert.ErrorContains(t, err, path)
	}
	_, err := regional.OpenPolicy("/nowhere.yaml", logr.Discard())
	assert.ErrorContains(t, err, "/nowhere.yaml")
}

func TestTheDeployedPolicyIsValid(t *testing.T) {
	opened, err := regional.OpenPolicy("../../../deploy/stages.yaml", logr.Discard())
	require.NoError(t, err)
	assert.NotNil(t, opened.Program())
}
