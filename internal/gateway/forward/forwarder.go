package forward

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/gateway/eventstream"
	"github.com/pierhaven/pierhaven/internal/gateway/exchange"
)

// Peer is a gateway of another zone.
type Peer struct {
	Zone    string
	Address string
}

// Options of a Forwarder.
type Options struct {
	Exchange exchange.Options
	// Token is the cluster's shared token.
	Token string
	// WriteTimeout bounds the wait for the caller to take bytes.
	WriteTimeout time.Duration
	// MaximumEventBytes bounds one event of a relayed stream.
	MaximumEventBytes int
}

// Forwarder forwards requests. It may be used concurrently.
type Forwarder struct {
	options   Options
	exchanges *exchange.Client
	clock     func() time.Duration

	mutex    sync.Mutex
	peers    []Peer
	turn     int
	failedAt map[string]time.Duration
}

// New returns a forwarder. Connections are not reused, so that a connection
// which the peer had closed can't make an outcome unknown.
func New(options Options, peers []Peer, clock func() time.Duration) *Forwarder {
	options.Exchange.MaximumIdlePerAddress = 0
	return &Forwarder{
		options:   options,
		exchanges: exchange.NewClient(options.Exchange),
		clock:     clock,
		peers:     peers,
		failedAt:  map[string]time.Duration{},
	}
}

// Outcome is what became of a forwarded request.
type Outcome struct {
	// Answered is set if the caller has got an answer, whole or broken off with
	// its failure marked.
	Answered bool
	// Broken is set if a relayed stream broke off without its failure marked.
	Broken bool
	// HandedOver is false only if no byte was sent to any peer.
	HandedOver bool
	Detail     string
}

// failedFor is how long a peer that could not be reached is passed over.
const failedFor = 2 * time.Second

// ToZone forwards to a gateway of a zone and relays the answer. Further gateways
// are tried as long as nothing was sent.
func (f *Forwarder) ToZone(ctx context.Context, call *app.RequestContext, zone string) Outcome {
	return f.forwardCall(ctx, call, func(peer Peer) bool { return peer.Zone == zone })
}

// ToAny forwards to a gateway of any other zone and relays the answer.
func (f *Forwarder) ToAny(ctx context.Context, call *app.RequestContext) Outcome {
	return f.forwardCall(ctx, call, func(Peer) bool { return true })
}

func (f *Forwarder) forwardCall(ctx context.Context, call *app.RequestContext, wanted func(Peer) bool) Outcome {
	return f.forward(ctx, requestOf(call), wanted, func(result *exchange.Exchange) Outcome {
		return f.relay(call, result)
	})
}

// Reply is an answer that was read whole.
type Reply struct {
	Status int
	Body   []byte
}

// Exchange forwards a request to a gateway of a zone and reads the answer whole.
func (f *Forwarder) Exchange(ctx context.Context, request Request, zone string) (Reply, Outcome) {
	var reply Reply
	outcome := f.forward(ctx, request, func(peer Peer) bool { return peer.Zone == zone },
		func(result *exchange.Exchange) Outcome {
			body, err := result.Response.BodyE()
			if err != nil {
				return Outcome{HandedOver: true, Detail: err.Error()}
			}
			reply = Reply{Status: result.Response.StatusCode(), Body: append([]byte(nil), body...)}
			return Outcome{Answered: true, HandedOver: true}
		})
	return reply, outcome
}

func (f *Forwarder) forward(ctx context.Context, request Request, wanted func(Peer) bool, take func(*exchange.Exchange) Outcome) Outcome {
	outcome := Outcome{Detail: "no gateway is known"}
	for _, peer := range f.candidates(wanted) {
		outcome = f.try(ctx, request, peer, take)
		if outcome.Answered || outcome.HandedOver {
			return outcome
		}
		f.noteFailed(peer)
	}
	return outcome
}

// candidates lists the wanted peers, in turn, those that just failed last.
func (f *Forwarder) candidates(wanted func(Peer) bool) []Peer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.turn++
	var good, bad []Peer
	for offset := range f.peers {
		peer := f.peers[(f.turn+offset)%len(f.peers)]
		if !wanted(peer) {
			continue
		}
		failedAt, failed := f.failedAt[peer.Address]
		if failed && f.clock()-failedAt < failedFor {
			bad = append(bad, peer)
			continue
		}
		good = append(good, peer)
	}
	return append(good, bad...)
}

func (f *Forwarder) noteFailed(peer Peer) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failedAt[peer.Address] = f.clock()
}

func (f *Forwarder) try(ctx context.Context, request Request, peer Peer, take func(*exchange.Exchange) Outcome) Outcome {
	left := request.Deadline - f.clock()
	ctx, cancel := context.WithTimeout(ctx, max(time.Millisecond, left+answerSlack))
	defer cancel()
	result, err := f.exchanges.Do(ctx, request.wire(peer, left, f.options.Token))
	if err != nil {
		return Outcome{HandedOver: exchange.HandedOver(err), Detail: err.Error()}
	}
	defer result.Close(false)
	return take(result)
}

// answerSlack lets the peer's own answer to a missed deadline come through.
const answerSlack = 500 * time.Millisecond

// relayedHeaders are the headers of an answer that go back to the caller.
var relayedHeaders = []string{callerapi.HeaderRetryAfter, callerapi.HeaderReplayed}

func (f *Forwarder) relay(call *app.RequestContext, result *exchange.Exchange) Outcome {
	status := result.Response.StatusCode()
	reader, err := sse.NewReader(result.Response)
	if err == nil {
		return f.relayStream(call, reader)
	}
	body, err := result.Response.BodyE()
	if err != nil {
		return Outcome{HandedOver: true, Detail: err.Error()}
	}
	for _, name := range relayedHeaders {
		if value := result.Response.Header.Get(name); value != "" {
			call.Header(name, value)
		}
	}
	contentType := string(result.Response.Header.ContentType())
	call.Data(status, contentType, append([]byte(nil), body...))
	return Outcome{Answered: true, HandedOver: true}
}

// relayStream relays events as they come, up to the end mark or an error event.
func (f *Forwarder) relayStream(call *app.RequestContext, reader *sse.Reader) Outcome {
	reader.SetMaxBufferSize(f.options.MaximumEventBytes)
	var writer *sse.Writer
	event := sse.NewEvent()
	defer event.Release()
	for {
		if err := reader.Read(event); err != nil {
			return brokenStream(writer != nil, err)
		}
		if writer == nil {
			writer = eventstream.NewWriter(call)
		}
		_ = call.GetConn().SetWriteTimeout(f.options.WriteTimeout)
		if err := writer.Write(event); err != nil {
			return Outcome{Answered: true, HandedOver: true, Detail: err.Error()}
		}
		if string(event.Data) == callerapi.StreamDone || event.Type == callerapi.StreamErrorEvent {
			return Outcome{Answered: true, HandedOver: true}
		}
	}
}

// brokenStream tells a stream that never began from one that broke off.
func brokenStream(begun bool, err error) Outcome {
	if errors.Is(err, io.EOF) {
		err = errors.New("the stream ended without its end mark")
	}
	return Outcome{HandedOver: true, Detail: err.Error(), Broken: begun}
}
