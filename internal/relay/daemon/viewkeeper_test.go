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
)

// fixedCodec reads any document as the same configuration.
type fixedCodec struct{ traffic.Codec }

func (fixedCodec) Read([]byte) (*traffic.Configuration, error) {
	return &traffic.Configuration{Version: 1}, nil
}

func newTestKeeper() *viewKeeper {
	directory := relay.NewDirectory(func() time.Duration { return 0 }, "z", func(string, string) {}, logr.Discard())
	return newViewKeeper(Settings{Codec: fixedCodec{}, Logger: logr.Discard()}, nil, directory, nil, nil, nil)
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
