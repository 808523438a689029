package hollow

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/bench/truth"
	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/gateway/fleet"
	"github.com/pierhaven/pierhaven/internal/gateway/zonegroup"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/session"
)

// GatewayStatus is what a hollow gateway says of itself.
type GatewayStatus struct {
	ID string `json:"id"`
	// Up is false while the bench keeps the gateway down.
	Up bool `json:"up"`
	// Held says that its lease holds.
	Held           bool   `json:"held"`
	ConfigRevision uint64 `json:"config_revision"`
	Engines        int    `json:"engines"`
}

// gatewayWorker is what the hollow gateways of a process share.
type gatewayWorker struct {
	specification *Specification
	truth         *truth.Writer
	counter       *counter
	started       time.Time
	failed        func(error)
}

func (w *gatewayWorker) clock() time.Duration { return time.Since(w.started) + time.Nanosecond }

// hollowGateway is a gateway without callers. It can be taken down as by the
// loss of its machine, and brought back as a new process.
type hollowGateway struct {
	Gateway
	worker   *gatewayWorker
	revision atomic.Uint64

	mutex   sync.Mutex
	cancel  context.CancelFunc
	done    chan struct{}
	keeper  *zonegroup.Keeper
	records *zonegroup.Records
	fleet   *fleet.Fleet
}

// contactTime is how long a gateway and the zone group may take to know what one of them knows.
const contactTime = 3 * time.Second

// start runs the gateway as a new process would.
func (g *hollowGateway) start() error {
	client, err := rpc.NewClient(rpc.ClientOptions{})
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core := session.New(session.Config{
		GatewayID: g.ID, Incarnation: rand.Uint64(), Address: g.Address, PeerAddress: g.Address, Random: random,
	})
	caller := zonegroup.NewCaller(&carrier{RPC: client, counter: g.worker.counter}, g.worker.specification.Controllers)
	keeper := zonegroup.NewKeeper(core, caller, g.worker.clock, logr.Discard())
	view := fleet.New(g.worker.clock, keeper)
	view.OnChange(g.fleetChanged)
	reported := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	keeper.Attach(view, newReporter(g.worker.specification.Work, reported, g.worker.clock),
		zonegroup.NewEvidence(g.ID, keeper, caller, g.worker.clock, contactTime, logr.Discard()).Guard)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.cancel, g.done, g.keeper, g.fleet = cancel, done, keeper, view
	g.records = zonegroup.NewRecords(g.worker.specification.Zone, g.ID, keeper, caller)
	g.revision.Store(0)
	go func() {
		defer close(done)
		defer client.Close()
		keeper.Run(ctx)
	}()
	go g.claim(ctx, g.records)
	return nil
}

// kill takes the gateway down without a word to its controllers.
func (g *hollowGateway) kill() {
	g.mutex.Lock()
	cancel, done := g.cancel, g.done
	g.cancel = nil
	g.mutex.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	<-done
}

// fleetChanged records each configuration that comes into force.
func (g *hollowGateway) fleetChanged(snapshot *fleet.Snapshot) {
	if snapshot.Configuration == nil || snapshot.Configuration.Revision == g.revision.Load() {
		return
	}
	g.revision.Store(snapshot.Configuration.Revision)
	digest, err := digestOf(snapshot.Configuration.Snapshot())
	if err == nil {
		err = g.worker.truth.Write(truth.ConfigInForce{
			Process: g.ID, Revision: snapshot.Configuration.Revision, Digest: digest,
		})
	}
	if err != nil {
		g.worker.failed(err)
	}
}

// digestOf identifies the content of a configuration.
func digestOf(snapshot *dynamic.Snapshot) (string, error) {
	encoded, err := snapshot.MarshalMsg(nil)
	return strconv.FormatUint(xxhash.Sum64(encoded), 36), err
}

func (g *hollowGateway) status() GatewayStatus {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	status := GatewayStatus{ID: g.ID, Up: g.cancel != nil}
	if status.Up {
		status.Held = g.keeper.LeaseState(g.worker.clock()) == membership.LeaseHeld
		status.ConfigRevision = g.revision.Load()
		status.Engines = len(g.fleet.Snapshot().Engines())
	}
	return status
}
