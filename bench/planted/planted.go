// Package planted builds the product's program with a fault, for tests that checks notice it.
package planted

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Build builds the program with a text in one of its files replaced, below the folder of the repository. The test runs two folders
// below that one.
func Build(t *testing.T, file, text, planted string) string {
	t.Helper()
	folder := t.TempDir()
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	source, err := os.ReadFile(filepath.Join(root, file))
	require.NoError(t, err)
	require.Contains(t, string(source), text)
	changed := filepath.Join(folder, "planted.go")
	require.NoError(t, os.WriteFile(changed, []byte(strings.ReplaceAll(string(source), text, planted)), 0o600))
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{filepath.Join(root, file): changed}})
	require.NoError(t, err)
	overlayFile := filepath.Join(folder, "overlay.json")
	require.NoError(t, os.WriteFile(overlayFile, overlay, 0o600))
	binary := filepath.Join(folder, "pierhaven")
	output, err := exec.Command("go", "build", "-overlay", overlayFile, "-o", binary, "../../cmd/pierhaven").CombinedOutput()
	require.NoError(t, err, "%s", output)
	return binary
}
