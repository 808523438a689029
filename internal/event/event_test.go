package event_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/event"
)

func TestThePageListsEachEventOnce(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for _, each := range event.All() {
		assert.Equal(t, 1, strings.Count(string(page), "\n| `"+each+"` |"), each)
	}
}
