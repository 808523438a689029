package daemon

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// Header fields of forwarded calls. They pass between gateways only.
const (
	// headerPeerCall holds a region.ForwardedCall, encoded in base64. headerPeerStream holds one that continues a stream: peers
	// of earlier builds, which would continue it with any software, don't read it.
	headerPeerCall   = "Peer-Call"
	headerPeerStream = "Peer-Stream"
	// headerPeerRefusal marks a peer's own refusal, whose body is a failure.Body. headerPeerRuns is the number of replicas
	// that may have run the call.
	headerPeerRefusal = "Peer-Refusal"
	headerPeerRuns    = "Peer-Runs"
	// headerPeerSoftware is the version of the software that has begun a stream, headerPeerIncarnation the incarnation if the
	// version is not known.
	headerPeerSoftware    = "Peer-Software"
	headerPeerIncarnation = "Peer-Incarnation"
)

// isPeerField reports whether a header field passes between gateways only.
func isPeerField(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case headerPeerCall, headerPeerStream, headerPeerRefusal, headerPeerRuns, headerPeerSoftware, headerPeerIncarnation:
		return true
	}
	return false
}

const (
	// peerFailurePause is how long a peer gets no calls after it could not be connected to, or has refused one since it has
	// lost its own links, or stops.
	peerFailurePause = time.Second
	// idlePeerConnections bounds the unused connections to a peer.
	idlePeerConnections = 8
)

// forwardClient forwards calls to peer gateways. It is safe for concurrent use.
type forwardClient struct {
	settings Settings
	client   *upstream.Client

	mutex sync.Mutex
	// neighbors are the addresses of the peers, next is the index of the one whose turn it is.
	neighbors []string
	hash      uint64
	next      int
	// gateways are the addresses of all gateways of the region, nil if they are not known.
	gateways map[string]struct{}
	// pausedUntil is until when a peer gets no calls for a service.
	pausedUntil map[peerService]time.Time
}

type peerService struct{ peer, service string }

func newForwardClient(settings Settings) *forwardClient {
	return &forwardClient{
		settings:    settings,
		client:      upstream.NewClient(upstream.Options{DialTimeout: dialTimeout, MaximumBodyBytes: maximumBodyBytes, Budget: settings.AnswerBudget}),
		pausedUntil: map[peerService]time.Time{},
	}
}

// setGateways sets the sorted addresses of all gateways of the region, from which this one chooses its peers.
func (f *forwardClient) setGateways(addresses []string) {
	gateways := make(map[string]struct{}, len(addresses))
	for _, address := range addresses {
		gateways[address] = struct{}{}
	}
	f.setNeighbors(0, region.Neighbors(addresses, f.settings.PeerListen))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.gateways = gateways
}

// setNeighbors sets the peers to which calls are forwarded, as a coordinator has chosen them.
func (f *forwardClient) setNeighbors(hash uint64, neighbors []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hash, f.neighbors, f.gateways = hash, neighbors, nil
	clear(f.pausedUntil)
}

// accepts reports whether a gateway at an address may belong to this region, and not to a deployment that has had this one's
// address before. Where coordinators choose replicas, a gateway does not know all others and accepts any.
func (f *forwardClient) accepts(address string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, known := f.gateways[address]
	return known || f.gateways == nil
}

// neighborsHash returns the hash that the peers were set with.
func (f *forwardClient) neighborsHash() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.hash
}

// pick returns the peer whose turn it is for a service, empty if all are paused.
func (f *forwardClient) pick(service string, now time.Time) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for range f.neighbors {
		f.next = (f.next + 1) % len(f.neighbors)
		peer := f.neighbors[f.next]
		if !now.Before(f.pausedUntil[peerService{peer, service}]) {
			return peer
		}
	}
	return ""
}

func (f *forwardClient) pause(peer, service string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if slices.Contains(f.neighbors, peer) {
		f.pausedUntil[peerService{peer, service}] = time.Now().Add(peerFailurePause)
	}
}

// forward implements relay.Forwarder.
func (f *forwardClient) forward(ctx context.Context, call *relay.Call, progress relay.Progress) (*relay.PeerAnswer, error) {
	peer := f.pick(call.Service.Name, time.Now())
	if peer == "" {
		return nil, relay.ErrNoPeer
	}
	request, err := f.request(peer, call, progress)
	if err != nil {
		return nil, relay.ErrNoPeer
	}
	exchange, err := f.client.Do(ctx, request)
	if err != nil {
		if ctx.Err() == nil {
			f.client.Forget(peer, "")
			f.pause(peer, call.Service.Name)
		}
		return nil, err
	}
	answer := &relay.PeerAnswer{Peer: peer, Exchange: exchange, Software: readSoftware(exchange.Header)}
	answer.Runs, _ = strconv.Atoi(exchange.Header.Get(headerPeerRuns))
	if exchange.Header.Get(headerPeerRefusal) != "" {
		answer.Refusal = readRefusal(exchange)
		switch failure.KindOf(answer.Refusal) {
		case failure.CutOff, failure.Leaving, failure.NotReady:
			f.pause(peer, call.Service.Name)
		}
	}
	for name := range exchange.Header {
		if isPeerField(name) {
			exchange.Header.Del(name)
		}
	}
	return answer, nil
}

// request returns the request that forwards a call.
func (f *forwardClient) request(peer string, call *relay.Call, progress relay.Progress) (*upstream.Request, error) {
	forwarded := &region.ForwardedCall{
		Gateway:       f.settings.Name,
		Address:       f.settings.PeerListen,
		Version:       call.Version,
		Service:       call.Service.Name,
		Tenant:        call.Tenant,
		Rank:          call.Route.Priority,
		ElapsedMicros: time.Since(call.Arrived).Microseconds(),
		WaitMicros:    call.Wait.Microseconds(),
		LastEvent:     progress.LastEvent,
		Attempts:      progress.Attempts,
		Arrivals:      progress.Arrivals,
		MayHaveRun:    progress.MayHaveRun,
		Number:        call.Number,
		Sends:         progress.Sends,
	}
	field := headerPeerCall
	if call.Software.IsSet() {
		field, forwarded.Software = headerPeerStream, &call.Software
	}
	encoded, err := forwarded.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	request := &upstream.Request{
		Address:     peer,
		Method:      call.Method,
		Target:      call.Target,
		Host:        call.Host,
		Header:      append(slices.Clone(call.Header), upstream.Field{Name: field, Value: base64.StdEncoding.EncodeToString(encoded)}),
		Body:        call.Body,
		MaximumIdle: idlePeerConnections,
	}
	if !call.Route.Repeatable() {
		request.MaximumIdleTime = maximumPeerConnectionIdle
	}
	return request, nil
}

// maximumPeerConnectionIdle bounds how long a reused connection to a peer may have been idle if it carries a call that can't
// be repeated.
const maximumPeerConnectionIdle = time.Second

// readSoftware returns the software that has begun the stream of a peer's answer.
func readSoftware(header http.Header) origin.Software {
	software := origin.Software{Version: header.Get(headerPeerSoftware), Incarnation: header.Get(headerPeerIncarnation)}
	if !software.IsSet() {
		return origin.Unknown
	}
	return software
}

// maximumRefusalBytes bounds a peer's own refusal.
const maximumRefusalBytes = 64 << 10

// readRefusal reads a peer's own refusal. One that can't be read leaves unknown whether the call has run.
func readRefusal(exchange *upstream.Exchange) error {
	body, err := exchange.ReadAtMost(maximumRefusalBytes)
	if err != nil {
		return failure.Wrap(err, failure.OutcomeUnknown)
	}
	var refusal failure.Body
	if err := json.Unmarshal(body, &refusal); err != nil {
		return failure.Wrap(err, failure.OutcomeUnknown)
	}
	return failure.New(refusal.Error.Type, refusal.Error.Message, failure.WithRan(refusal.Error.Ran),
		failure.WithRetryAfter(time.Duration(refusal.Error.RetryAfterMillis)*time.Millisecond))
}
