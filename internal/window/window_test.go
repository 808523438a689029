package window_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/window"
)

func TestTheBusiestWindowIsFound(t *testing.T) {
	for _, each := range []struct {
		at          []time.Duration
		first, last int
	}{
		{nil, 0, -1},
		{[]time.Duration{7}, 0, 0},
		{[]time.Duration{0, 4, 8}, 0, 1},
		{[]time.Duration{0, 5, 6, 9, 9, 14, 15}, 1, 4},
		{[]time.Duration{1, 1, 1, 9, 9}, 0, 2},
	} {
		first, last := window.Busiest(len(each.at), 4, func(first, last int) time.Duration { return each.at[last] - each.at[first] })
		assert.Equal(t, []int{each.first, each.last}, []int{first, last}, "%v", each.at)
	}
}
