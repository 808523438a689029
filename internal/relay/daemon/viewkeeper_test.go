package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/uptime"
)

// fixedCodec reads any document as the same configuration.
type fixedCodec struct{ traffic.Codec }

func (fixedCodec) Read([]byte) (*traffic.Configuration, error) {
	return &traffic.Configuration{Version: 1}, nil
}

func newTestKeeper() *viewKeeper {
	directory := relay.NewDirectory(func() time.Duration { return 0 }, "z", func(string, string) {}, logr.Discard())
	return newViewKeeper(Settings{Codec: fixedCodec{}, Logger: logr.Discard(), Now: uptime.Now}, nil, directory, nil, nil, nil)
}

func TestARequestThatComesBeforeTheFirstConfigurationIsHeldForIt(t *testing.T) {
	keeper := newTestKeeper()
	assert.Nil(t, keeper.awaitTable(context.Background(), time.Nanosecond), "not for longer than the limit")
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Nil(t, keeper.awaitTable(gone, time.Hour), "not for a caller that has gone")

	held := make(chan *traffic.Table)
	go func() { held <- keeper.awaitTable(context.Background(), time.Hour) }()
	assert.NoError(t, keeper.takeConfiguration(&region.View{Document: region.Deflate([]byte("{}"))}))
	assert.NotNil(t, <-held)
	assert.NotNil(t, keeper.awaitTable(gone, 0), "one that is there is not waited for")
}

func TestTheHoldForTheFirstConfigurationLeavesTheCallerTime(t *testing.T) {
	assert.Equal(t, firstTableWait, firstTableHold(0))
	assert.Equal(t, firstTableWait, firstTableHold(time.Minute))
	assert.Equal(t, 300*time.Millisecond, firstTableHold(900*time.Millisecond))
}

// A machine that was suspended is told nothing meanwhile: its view is as old as the suspension was
// long, though the steady clock has stood still.
func TestAViewAgesWhileTheMachineIsSuspended(t *testing.T) {
	var suspended time.Duration
	directory := relay.NewDirectory(func() time.Duration { return 0 }, "z", func(string, string) {}, logr.Discard())
	budgets := relay.NewBudgets(func() time.Duration { return 0 }, relay.BudgetTerms{Window: time.Second}, 1)
	asked := &deciders{peers: newDeciders().peers, asker: newDeciders().asker}
	settings := Settings{Codec: fixedCodec{}, Logger: logr.Discard(), Now: func() time.Duration { return uptime.Now() + suspended }}
	keeper := newViewKeeper(settings, nil, directory, budgets, asked, nil)
	assert.NoError(t, keeper.take("coordinator", &region.View{AgeMillis: 10, Gateways: 1}))
	age, known := keeper.age()
	assert.True(t, known)
	assert.Less(t, age, staleAge)
	suspended = 5 * time.Second
	age, _ = keeper.age()
	assert.GreaterOrEqual(t, age, 5*time.Second)
}

// Symptom: 985 gateways asked for 50 pages of 10,000 replicas each, of a list that is given 360 times a second. Sequence: the
// coordinators are cut off, or all processes start, and no view is fresh. Cause: each gateway read the whole list itself, as
// is right where it is short and the gateway can serve.
func TestAGatewayReadsTheListItselfOnlyWhereItIsShortAndOfUse(t *testing.T) {
	var now time.Duration
	keeper := newTestKeeper()
	keeper.clock = func() time.Duration { return now }
	now = time.Hour
	assert.False(t, keeper.isBlind(), "there is no configuration")
	assert.NoError(t, keeper.takeConfiguration(&region.View{Document: region.Deflate([]byte("{}"))}))
	assert.True(t, keeper.isBlind(), "there never was a view")
	keeper.confirmed, keeper.freshAt = true, now
	assert.False(t, keeper.isBlind())
	now += blindAge
	assert.True(t, keeper.isBlind())
	keeper.partial = true
	assert.False(t, keeper.isBlind(), "it knows a part of the replicas")
}
