package daemon

import (
	"context"
	"strconv"
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

func newTestViewClient() *viewClient {
	directory := relay.NewDirectory(func() time.Duration { return 0 }, "z", func(string, string) {}, logr.Discard())
	return newViewClient(Settings{Codec: fixedCodec{}, Logger: logr.Discard(), Now: uptime.Now}, nil, directory, nil, nil, nil)
}

func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	views := newTestViewClient()
	assert.Nil(t, views.awaitTable(context.Background(), time.Nanosecond), "the wait is limited")
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Nil(t, views.awaitTable(canceled, time.Hour), "the wait ends with the caller's context")

	held := make(chan *traffic.Table)
	go func() { held <- views.awaitTable(context.Background(), time.Hour) }()
	assert.NoError(t, views.applyConfiguration(&region.View{Document: region.Deflate([]byte("{}"))}))
	assert.NotNil(t, <-held)
	assert.NotNil(t, views.awaitTable(canceled, 0), "a known configuration is returned at once")
}

func TestConfigurationWaitLeavesTheCallerTime(t *testing.T) {
	assert.Equal(t, maximumConfigurationWait, configurationWait(0))
	assert.Equal(t, maximumConfigurationWait, configurationWait(time.Minute))
	assert.Equal(t, 300*time.Millisecond, configurationWait(900*time.Millisecond))
}

// A suspended machine receives no updates. The age of its view must include the suspension, during
// which the monotonic clock stands still.
func TestAViewAgesWhileTheMachineIsSuspended(t *testing.T) {
	var suspended time.Duration
	directory := relay.NewDirectory(func() time.Duration { return 0 }, "z", func(string, string) {}, logr.Discard())
	budgets := relay.NewRetryBudgets(func() time.Duration { return 0 }, relay.RetryBudgetOptions{Window: time.Second}, 1)
	mode := &placementMode{peers: newTestPlacementMode().peers, client: newTestPlacementMode().client, forwards: newForwardClient(Settings{})}
	settings := Settings{Codec: fixedCodec{}, Logger: logr.Discard(), Now: func() time.Duration { return uptime.Now() + suspended }}
	views := newViewClient(settings, nil, directory, budgets, mode, nil)
	assert.NoError(t, views.apply("coordinator", &region.View{AgeMillis: 10, Gateways: 1}, 0))
	age, known := views.age()
	assert.True(t, known)
	assert.Less(t, age, staleAge)
	suspended = 5 * time.Second
	age, _ = views.age()
	assert.GreaterOrEqual(t, age, 5*time.Second)
}

// A gateway that waited for all parts of a long list would serve nothing meanwhile.
func TestAPartOfTheListIsInForceAtOnce(t *testing.T) {
	views := newTestViewClient()
	views.applyList(&region.View{HasList: true, WholeList: true, ListRevision: 4, Replicas: []region.Replica{{ID: "a"}, {ID: "b"}}, PartEnd: "b"})
	assert.Equal(t, 2, views.directory.Count())
	assert.True(t, views.list.IsPartial())
	views.applyList(&region.View{HasList: true, ListRevision: 5, Replicas: []region.Replica{{ID: "c"}}, Removed: []string{"a"}})
	assert.Equal(t, 2, views.directory.Count())
	assert.False(t, views.list.IsPartial())
}

// Guards against overloading the platform's list: when the coordinators were cut off or all
// processes started, no view was fresh, and each of 985 gateways requested 50 pages of 10,000
// replicas from a list that serves 360 pages per second. A gateway may read the list itself only if
// the list is short and the gateway can serve.
func TestAGatewayReadsTheListItselfOnlyWhereItIsShortAndOfUse(t *testing.T) {
	var now time.Duration
	views := newTestViewClient()
	views.clock = func() time.Duration { return now }
	now = time.Hour
	assert.False(t, views.needsDirectList(), "there is no configuration")
	assert.NoError(t, views.applyConfiguration(&region.View{Document: region.Deflate([]byte("{}"))}))
	assert.True(t, views.needsDirectList(), "there never was a view")
	views.confirmed, views.freshAt = true, now
	assert.False(t, views.needsDirectList())
	now += directListAge
	assert.True(t, views.needsDirectList())
	views.partialList = true
	assert.False(t, views.needsDirectList(), "the gateway knows only part of the replicas")
}

// slowCodec reads a document as the configuration of the version that it holds, and takes until
// released for version 1.
type slowCodec struct {
	traffic.Codec
	begun, released chan struct{}
}

func (c slowCodec) Read(document []byte) (*traffic.Configuration, error) {
	version, err := strconv.ParseUint(string(document), 10, 64)
	if version == 1 {
		close(c.begun)
		<-c.released
	}
	return &traffic.Configuration{Version: version}, err
}

// Guards against a gateway that polls no coordinator while it brings a configuration into force:
// neither the list nor a later configuration arrived.
func TestPollsGoOnWhileAConfigurationIsBroughtIntoForce(t *testing.T) {
	directory := relay.NewDirectory(func() time.Duration { return 0 }, "z", func(string, string) {}, logr.Discard())
	budgets := relay.NewRetryBudgets(func() time.Duration { return 0 }, relay.RetryBudgetOptions{Window: time.Second}, 1)
	mode := &placementMode{peers: newTestPlacementMode().peers, client: newTestPlacementMode().client, forwards: newForwardClient(Settings{})}
	codec := slowCodec{begun: make(chan struct{}), released: make(chan struct{})}
	views := newViewClient(Settings{Codec: codec, Logger: logr.Discard(), Now: uptime.Now}, nil, directory, budgets, mode, nil)
	go views.applyConfigurations(t.Context())
	view := func(version uint64) *region.View {
		return &region.View{Version: version, Document: region.Deflate([]byte(strconv.FormatUint(version, 10))), AgeMillis: 10, Gateways: 1}
	}
	assert.NoError(t, views.apply("coordinator", view(1), 0))
	<-codec.begun
	listed := view(2)
	listed.HasList, listed.WholeList, listed.ListRevision, listed.Replicas = true, true, 4, []region.Replica{{ID: "a"}}
	assert.NoError(t, views.apply("coordinator", listed, 0))
	assert.NoError(t, views.apply("coordinator", view(3), 0))
	assert.Equal(t, 1, views.directory.Count(), "the list is in force")
	assert.Zero(t, views.version())
	close(codec.released)
	assert.Eventually(t, func() bool { return views.version() == 3 }, time.Minute, time.Millisecond, "the newest wins")
}
