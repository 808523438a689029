package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

const (
	// limitTellPause is the least time between two words on one replica, whose limit may be another
	// one in each answer; limitTellAgain is after how long a word that says nothing new is told again,
	// since datagrams are lost.
	limitTellPause = 100 * time.Millisecond
	limitTellAgain = time.Second
)

// limitClient keeps the limits that replicas name: it tells coordinators what answers say of them, and
// asks whether requests may be sent. It may be used concurrently.
type limitClient struct {
	*poolClient
	directory *relay.Directory

	// ownMutex guards what follows.
	ownMutex sync.Mutex
	// told are the last words on replicas.
	told map[string]toldLimit
	// allToldAt is when all words were last told.
	allToldAt time.Duration
	lone      *ratelimit.Lone
}

// toldLimit is a word with when it was told.
type toldLimit struct {
	named bool
	rate  float64
	at    time.Duration
}

func newLimitClient(settings Settings, socket *datagram.Socket, keeper *viewKeeper, directory *relay.Directory) *limitClient {
	created := &limitClient{
		poolClient: newPoolClient(settings, socket, keeper, datagram.KindLimit, datagram.KindLimitReply),
		directory:  directory,
		told:       map[string]toldLimit{},
		lone:       ratelimit.NewLone(rand.Float64),
	}
	directory.OnLimit(created.tell)
	return created
}

// keeping is what the relay needs to keep the limits.
func (l *limitClient) keeping() *relay.ReplicaLimits {
	return &relay.ReplicaLimits{Ask: l.askFor, Count: l.countSent}
}

// tell tells a coordinator what an answer has said.
func (l *limitClient) tell(word ratelimit.Word) {
	now := l.clock()
	l.ownMutex.Lock()
	before, known := l.told[word.Replica]
	pause := limitTellAgain
	if before.named != word.Named || before.rate != word.Rate {
		pause = limitTellPause
	}
	if known && now < before.at+pause {
		l.ownMutex.Unlock()
		return
	}
	if !known && len(l.told) > l.directory.Count() {
		// Replicas come and go; what is told again is borne.
		clear(l.told)
	}
	l.told[word.Replica] = toldLimit{named: word.Named, rate: word.Rate, at: now}
	l.ownMutex.Unlock()
	l.send([]ratelimit.Word{word})
}

// send sends words to the first coordinator that may be asked.
func (l *limitClient) send(words []ratelimit.Word) {
	candidates := l.candidates()
	if len(candidates) == 0 {
		return
	}
	for _, batch := range ratelimit.Batches(words) {
		l.socket.Send(datagram.KindLimitWord, &ratelimit.Message{From: l.settings.PeerListen, Words: batch}, candidates[0])
	}
}

// take takes over what a coordinator knows of limits, and tells it what it does not know: it may have
// begun anew, or a word to it was lost.
func (l *limitClient) take(view *region.View) {
	l.directory.TakeLimits(view.Limits)
	if l.directory.LimitNames() == view.LimitNames {
		return
	}
	now := l.clock()
	l.ownMutex.Lock()
	due := l.allToldAt == 0 || now >= l.allToldAt+limitTellAgain
	if due {
		l.allToldAt = now
	}
	l.ownMutex.Unlock()
	if due {
		l.send(l.directory.LimitWords())
	}
}

// askFor asks whether a request may be sent to a replica that names a limit.
func (l *limitClient) askFor(ctx context.Context, asked relay.LimitQuestion) relay.Permit {
	question := quota.Question{Account: asked.Life, Units: 1, Rank: asked.Rank}
	verdict, decided, err := l.decide(ctx, asked.Request, question)
	if err != nil {
		return relay.Permit{}
	}
	if !decided {
		return l.decideAlone(asked)
	}
	l.ownMutex.Lock()
	l.lone.Forget()
	l.ownMutex.Unlock()
	return relay.Permit{
		Granted:  verdict.Admitted,
		Wait:     time.Duration(verdict.WaitMicros) * time.Microsecond,
		By:       verdict.coordinator.String(),
		GiveBack: func() { l.chargeOf(question, verdict.coordinator).settle(0) },
	}
}

// decideAlone decides while no coordinator answers.
func (l *limitClient) decideAlone(asked relay.LimitQuestion) relay.Permit {
	l.ownMutex.Lock()
	granted, wait := l.lone.Ask(l.clock(), asked.Life, asked.Rate, l.keeper.gatewayCount())
	l.ownMutex.Unlock()
	l.count(granted, true)
	return relay.Permit{Granted: granted, Wait: wait, By: "self", GiveBack: func() {}}
}

// countSent counts what was sent to a replica without asking.
func (l *limitClient) countSent(life string) {
	coordinator := netip.AddrPort{}
	if candidates := l.candidates(); len(candidates) > 0 {
		coordinator = candidates[0]
	}
	l.give(quota.Amount{Account: life, Units: -1}, coordinator)
}
