package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/wire"
)

const (
	testKey    = "test-key"
	testTenant = "depot"
	testModel  = "reader"
)

// fakeZone is a zone group of one controller that never fails, for tests of the
// gateway alone.
type fakeZone struct {
	address string

	mutex   sync.Mutex
	view    wire.View
	leaving bool
	closed  bool
	claims  map[string]*fakeClaim
	terms   wire.Terms
	applied uint64
	poison  poisonZone
	// silent says that heartbeats and watches get no answer.
	silent bool
}

var errSilent = errors.New("cut off")

func (z *fakeZone) setSilent() {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.silent = true
}

type fakeClaim struct {
	attemptID string
	bodyHash  string
	reply     wire.ClaimReply
}

func testConfiguration() *dynamic.Snapshot {
	hash := sha256.Sum256([]byte(testKey))
	return &dynamic.Snapshot{
		Revision: 1,
		Tenants: []dynamic.Tenant{{
			Name:            testTenant,
			KeyHashes:       []string{hex.EncodeToString(hash[:])},
			HomeZone:        "north",
			MaximumPriority: 5,
		}},
		Models: []dynamic.Model{{
			Name: testModel, Version: "1", FirstTokenMillis: 1000, BetweenTokensMillis: 100,
			MaximumPromptTokens: 10000, MaximumOutputTokens: 1000,
		}},
		Applications: []dynamic.Application{{
			Name: "floor",
			Operations: []dynamic.Operation{
				{Name: "label-reprint"},
				{Name: "sorting-code", Repeatable: true},
			},
		}},
	}
}

func startZone(t testing.TB) *fakeZone {
	zone := &fakeZone{
		claims: map[string]*fakeClaim{},
		terms:  wire.Terms{HeartbeatMillis: 50, LeaseMillis: 2000, IsolationMillis: 4000},
		view:   wire.View{Revision: 1, ConfigRevision: 1, Config: testConfiguration(), Full: true},
	}
	zone.address = serve(t, func(h *server.Hertz) {
		rpc.Handle(h, wire.PathOpenSession, zone.open)
		rpc.Handle(h, wire.PathHeartbeat, zone.heartbeat)
		rpc.Handle(h, wire.PathWatch, zone.watch)
		rpc.Handle(h, wire.PathPoison, zone.poison.take)
		rpc.Handle(h, wire.PathCloseSession, zone.close)
		rpc.Handle(h, wire.PathClaim, zone.claim)
		rpc.Handle(h, wire.PathComplete, zone.complete)
		rpc.Handle(h, wire.PathRelease, zone.release)
	})
	return zone
}

// serve runs a server on a free port until the end of the test.
func serve(t testing.TB, route func(*server.Hertz)) string {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := server.New(
		server.WithListener(opened),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
	)
	route(h)
	go func() { _ = h.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = h.Shutdown(ctx)
	})
	return opened.Addr().String()
}

func (z *fakeZone) open(_ context.Context, request *wire.OpenSessionRequest) (*wire.OpenSessionReply, error) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if request.Ticket == 0 {
		return &wire.OpenSessionReply{Ticket: 1}, nil
	}
	return &wire.OpenSessionReply{SessionID: 7, View: z.view, Terms: z.terms}, nil
}

func (z *fakeZone) heartbeat(_ context.Context, request *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if z.silent {
		return nil, errSilent
	}
	z.leaving = z.leaving || request.Leaving
	z.applied = request.AppliedRevision
	reply := &wire.HeartbeatReply{Known: true, Revision: z.view.Revision, Terms: z.terms, Poison: z.poison.news(request)}
	if request.AppliedRevision < z.view.Revision {
		view := z.view
		reply.View = &view
	}
	return reply, nil
}

// watch answers at once if there is news, and after a short while otherwise.
func (z *fakeZone) watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchReply, error) {
	for range 20 {
		z.mutex.Lock()
		view, silent := z.view, z.silent
		z.mutex.Unlock()
		if silent {
			return nil, errSilent
		}
		if view.Revision > request.Revision {
			return &wire.WatchReply{View: view}, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return &wire.WatchReply{View: wire.View{Revision: request.Revision}}, nil
}

func (z *fakeZone) close(context.Context, *wire.CloseSessionRequest) (*wire.CloseSessionReply, error) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.closed = true
	return &wire.CloseSessionReply{}, nil
}

// change edits the view and gives it a new revision.
func (z *fakeZone) change(edit func(*wire.View)) uint64 {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	engines := append([]wire.EngineView(nil), z.view.Engines...)
	backEnds := append([]wire.BackEndView(nil), z.view.BackEnds...)
	z.view.Engines, z.view.BackEnds = engines, backEnds
	edit(&z.view)
	z.view.Revision++
	return z.view.Revision
}

func (z *fakeZone) addEngine(engine *fakeEngine) {
	z.change(func(view *wire.View) {
		view.Engines = append(view.Engines, wire.EngineView{
			ID: engine.id, Address: engine.address, Role: string(engine.role),
			Model: testModel, Version: engine.version, Dispatchable: true,
		})
	})
}

func (z *fakeZone) claim(_ context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	known, found := z.claims[request.Key]
	if !found {
		z.claims[request.Key] = &fakeClaim{
			attemptID: request.AttemptID,
			bodyHash:  string(request.BodyHash),
			reply:     wire.ClaimReply{Status: wire.ClaimInProgress},
		}
		return &wire.ClaimReply{Status: wire.ClaimGranted, DispatchMillis: 1000}, nil
	}
	if known.bodyHash != string(request.BodyHash) {
		return &wire.ClaimReply{Status: wire.ClaimReused}, nil
	}
	reply := known.reply
	return &reply, nil
}

func (z *fakeZone) complete(_ context.Context, request *wire.CompleteRequest) (*wire.CompleteReply, error) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	known := z.claims[request.Key]
	if known == nil || known.attemptID != request.AttemptID {
		return &wire.CompleteReply{}, nil
	}
	known.reply = wire.ClaimReply{
		Status: wire.ClaimAnswered, AnswerStatus: request.AnswerStatus, AnswerBody: request.AnswerBody,
	}
	return &wire.CompleteReply{Stored: true}, nil
}

func (z *fakeZone) release(_ context.Context, request *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	known := z.claims[request.Key]
	if known == nil || known.attemptID != request.AttemptID {
		return &wire.ReleaseReply{}, nil
	}
	if request.NotRun {
		delete(z.claims, request.Key)
	} else {
		known.reply = wire.ClaimReply{Status: wire.ClaimUnknown}
	}
	return &wire.ReleaseReply{Released: true}, nil
}
