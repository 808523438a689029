package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestABudgetIsOverdrawnByAtMostItsMaximum(t *testing.T) {
	b := NewBudget(BudgetOptions{Ratio: 1, Maximum: 2, Initial: 1, DecayTime: time.Second})
	for range 3 {
		require.True(t, b.Overdraw(0))
	}
	assert.False(t, b.Overdraw(0))
	assert.InDelta(t, -2, b.Balance(), 1e-9)
	b.Request(time.Hour)
	assert.False(t, b.Withdraw(time.Hour), "a debt does not decay")
	b.Request(time.Hour)
	b.Request(time.Hour)
	assert.True(t, b.Withdraw(time.Hour))
}
