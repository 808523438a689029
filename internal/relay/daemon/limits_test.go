package daemon

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

func TestLimitsOfTheConfigurationHold(t *testing.T) {
	limits := traffic.Limits{MaximumHeaderBytes: 100, MaximumBodyBytes: 1000}
	assert.NoError(t, checkRequestSize(limits, 100, 1000))
	assert.Equal(t, failure.HeadersTooLarge, failure.KindOf(checkRequestSize(limits, 101, 0)))
	assert.Equal(t, failure.BodyTooLarge, failure.KindOf(checkRequestSize(limits, 0, 1001)))
	assert.NoError(t, checkRequestSize(traffic.Limits{}, 1<<20, 1<<30))
}
