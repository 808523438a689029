package uptime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTheClockGoesOnAsTheSteadyOneDoes(t *testing.T) {
	assert.Positive(t, startedBoot)
	begun, before := time.Now(), Now()
	time.Sleep(20 * time.Millisecond)
	after := Now()
	assert.GreaterOrEqual(t, after-before, 20*time.Millisecond)
	assert.LessOrEqual(t, after-before, time.Since(begun)+time.Millisecond)
}

func TestASuspensionIsWhatTheSteadyClockLacks(t *testing.T) {
	var jumped time.Duration
	suspended := SuspendedBy(func() time.Duration { return Now() + jumped })
	assert.Zero(t, suspended())
	jumped = 5 * time.Second
	assert.Equal(t, 5*time.Second, suspended())
}

func TestSinceBeginsAtZeroAndFollowsItsSource(t *testing.T) {
	now := time.Hour
	clock := Since(func() time.Duration { return now })
	assert.Zero(t, clock())
	now += 5 * time.Second
	assert.Equal(t, 5*time.Second, clock())
}
