package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/admission"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/fleet"
	"github.com/pierhaven/pierhaven/internal/request"
	"github.com/pierhaven/pierhaven/internal/retry"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// Options are the settings of the cores.
type Options struct {
	Admission admission.Options
	Routing   routing.Options
	Retry     retry.Options
	// Zone is the gateway's zone, for the ranking programs.
	Zone string
	// MaximumWait bounds the time in the queue whatever the deadline.
	MaximumWait time.Duration
	// OtherZones says that a request which this zone can't take may go to another.
	OtherZones bool
	// Seed seeds the random draws of routing and retries.
	Seed uint64
}

// Scheduler is safe for concurrent use.
type Scheduler struct {
	options Options
	clock   func() time.Duration
	// isolationSet returns the engines that may be used, nil for all.
	isolationSet func(now time.Duration) []string

	mutex   sync.Mutex
	router  *routing.Router
	retrier *retry.Retrier
	queues  map[string]*admission.Queue
	demands map[string]*demand
	// demandReportedAt is the time of the last report of the demands.
	demandReportedAt time.Duration

	limits    map[string]*tenantLimit
	addresses map[string]string
	waiting   int
	versions  versionOutcomes
	ranking   ranking
}

type tenantLimit struct {
	limit           *admission.TenantLimit
	tokensPerSecond float64
	burst           float64
}

// New returns a scheduler without engines.
func New(options Options, clock func() time.Duration, isolationSet func(now time.Duration) []string) *Scheduler {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed+1))
	return &Scheduler{
		options:      options,
		clock:        clock,
		isolationSet: isolationSet,
		router:       routing.New(options.Routing, random),
		retrier:      retry.New(options.Retry, random),
		queues:       map[string]*admission.Queue{},
		demands:      map[string]*demand{},
		limits:       map[string]*tenantLimit{},
		addresses:    map[string]string{},
		versions:     newVersionOutcomes(),
	}
}

// SetFleet sets a new snapshot of the zone.
func (s *Scheduler) SetFleet(snapshot *fleet.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	engines := snapshot.Engines()
	rows := make([]routing.Engine, 0, len(engines))
	clear(s.addresses)
	for _, engine := range engines {
		s.addresses[engine.Address] = engine.ID
		rows = append(rows, routing.Engine{
			ID:           engine.ID,
			Address:      engine.Address,
			Role:         engineapi.Role(engine.Role),
			Model:        engine.Model,
			Version:      engine.Version,
			Adapters:     engine.Adapters,
			Dispatchable: engine.Dispatchable,
			Leaving:      engine.Leaving,
		})
	}
	s.router.SetEngines(rows)
	s.versions.setEngines(rows)
	s.ranking.update(s.options.Zone, snapshot)
	s.pump()
}

// ObserveLoad takes the load report of the engine at an address.
func (s *Scheduler) ObserveLoad(address string, report engineapi.LoadReport) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if engineID, found := s.addresses[address]; found {
		s.router.ReportLoad(s.clock(), engineID, report)
	}
}

// strandedWait bounds the wait while no engine takes new work at all, where another zone may: long
// enough for one that is just coming back, short enough to try the other zone. Where there is none, the
// caller is served best by waiting.
const strandedWait = time.Second

// miss returns why no engine could take a request even if all were idle.
func (s *Scheduler) miss(now time.Duration, entering *Request) routing.NoEngineReason {
	wanted := entering.routing(0)
	wanted.OnlyEngines = s.isolationSet(now)
	return s.router.NoEngineReason(now, wanted)
}

// Enter puts a request into the queue, or refuses it at once. The decision
// comes on the channel; Leave must be called by whoever stops waiting for it.
func (s *Scheduler) Enter(entering *Request) (<-chan Decision, *Refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	seen := s.demand(now, entering.Model.Name)
	seen.arrived(entering.PromptTokens, entering.OutputTokens)
	s.retrier.Request(now)
	miss := s.miss(now, entering)
	if miss == routing.NoEngineWithModel {
		seen.missed++
		return nil, &Refusal{Kind: failure.NoBackEnd, Detail: "no engine of this zone has the model"}
	}
	expected := seen.lengths.Expected(entering.OutputTokens)
	cost := float64(entering.PromptTokens + expected)
	if allowed, retryAfter := s.limit(now, entering.Tenant).Allow(now, cost); !allowed {
		return nil, &Refusal{
			Kind:       failure.TenantLimit,
			RetryAfter: retryAfter,
			Detail:     "the tenant's token budget at this gateway is used up",
		}
	}
	item := s.item(now, entering, cost, seen)
	item.Rank = s.rank(now, entering)
	stranded := miss != routing.EngineFound
	if stranded && s.options.OtherZones {
		item.Deadline = min(item.Deadline, now+strandedWait)
	}
	queued := &waiting{request: entering, enteredAt: now, stranded: stranded, decision: make(chan Decision, 1)}
	item.Value = queued
	if refusal := s.queue(entering.Model.Name).Offer(now, item); refusal != nil {
		seen.missed++
		return nil, refusalOf(refusal)
	}
	s.waiting++
	s.pump()
	return queued.decision, nil
}

func (s *Scheduler) item(now time.Duration, entering *Request, cost float64, seen *demand) *admission.Item {
	item := &admission.Item{
		ID:       entering.ID,
		Tenant:   entering.Tenant.Name,
		Weight:   entering.Tenant.Weight,
		Priority: entering.Priority,
		Cost:     cost,
		Deadline: now + s.options.MaximumWait,
	}
	if entering.Deadline > 0 && entering.Deadline-seen.service < item.Deadline {
		item.Deadline = entering.Deadline
		item.Service = seen.service
	}
	return item
}

// Leave takes a request out of the queue, if it is still there.
func (s *Scheduler) Leave(leaving *Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.queue(leaving.Model.Name).Remove(s.clock(), leaving.ID) != nil {
		s.waiting--
	}
}

// Release gives up the reservations of a placement that is not used.
func (s *Scheduler) Release(placement *Placement) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.release(placement)
	s.pump()
}

func (s *Scheduler) release(placement *Placement) {
	for _, held := range placement.reservations {
		s.router.AttemptEnded(s.clock(), held.engineID, held.id, routing.OutcomeCancelled)
	}
	placement.reservations = nil
}

// Select places a request again, past the queue, for a further attempt. Nil
// means that no engine can take it.
func (s *Scheduler) Select(placed *Request, pick request.Pick) *Placement {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	wanted := placed.routing(s.expectedOutput(now, placed))
	wanted.Version = pick.Version
	wanted.Exclude = pick.Excluded
	wanted.Prefilled = pick.DecodeOnly
	wanted.OnlyEngines = s.isolationSet(now)
	choice, miss := s.router.Select(now, wanted)
	if miss != routing.EngineFound {
		return nil
	}
	return s.reserve(now, placed, choice)
}

// Tick serves and expires the queues; call it often while Waiting is not 0.
func (s *Scheduler) Tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pump()
}

// Waiting is the number of queued requests.
func (s *Scheduler) Waiting() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.waiting
}

// pump serves what can be served and gives up what can't be served in time.
func (s *Scheduler) pump() {
	if s.waiting == 0 {
		return
	}
	now := s.clock()
	for _, queue := range s.queues {
		s.serve(now, queue)
		for _, given := range queue.Expire(now) {
			s.waiting--
			queued := given.Item.Value.(*waiting)
			s.demand(now, queued.request.Model.Name).missed++
			queued.decision <- Decision{Refusal: queued.refusal(&given.Refusal)}
		}
	}
}

func (s *Scheduler) serve(now time.Duration, queue *admission.Queue) {
	for queue.Len() > 0 {
		var choice routing.Choice
		item := queue.Next(now, func(item *admission.Item) bool {
			var placed bool
			choice, placed = s.choose(now, item.Value.(*waiting))
			return placed
		})
		if item == nil {
			return
		}
		s.waiting--
		queued := item.Value.(*waiting)
		queued.decision <- Decision{Placement: s.reserve(now, queued.request, choice)}
	}
}

// choose selects engines for a queued request that have room for it.
func (s *Scheduler) choose(now time.Duration, queued *waiting) (routing.Choice, bool) {
	wanted := queued.request.routing(s.expectedOutput(now, queued.request))
	wanted.OnlyEngines = s.isolationSet(now)
	wanted.Waited = now - queued.enteredAt
	choice, miss := s.router.Select(now, wanted)
	return choice, miss == routing.EngineFound && !choice.Saturated
}

// reserve counts a choice's load until the attempts start.
func (s *Scheduler) reserve(now time.Duration, placed *Request, choice routing.Choice) *Placement {
	placement := &Placement{
		Serving:   request.Engine{ID: choice.Serving.ID, Address: choice.Serving.Address},
		NewTokens: choice.NewTokens,
	}
	kvTokens := placed.PromptTokens + placed.OutputTokens
	serving := reservation{engineID: choice.Serving.ID, id: "reserved-" + placed.ID}
	newTokens := choice.NewTokens
	if choice.Prefill != nil {
		placement.Prefill = &request.Engine{ID: choice.Prefill.ID, Address: choice.Prefill.Address}
		prefill := reservation{engineID: choice.Prefill.ID, id: serving.id + "-prefill"}
		s.router.AttemptStarted(now, prefill.engineID, prefill.id, newTokens, placed.PromptTokens)
		placement.reservations = append(placement.reservations, prefill)
		newTokens = 0
	}
	s.router.AttemptStarted(now, serving.engineID, serving.id, newTokens, kvTokens)
	placement.reservations = append(placement.reservations, serving)
	return placement
}

func (s *Scheduler) queue(model string) *admission.Queue {
	queue, found := s.queues[model]
	if !found {
		queue = admission.NewQueue(s.options.Admission)
		s.queues[model] = queue
	}
	return queue
}

// expectedOutput is the expected length of a request's answer, in tokens.
func (s *Scheduler) expectedOutput(now time.Duration, asked *Request) int {
	return s.demand(now, asked.Model.Name).lengths.Expected(asked.OutputTokens)
}

func (s *Scheduler) demand(now time.Duration, model string) *demand {
	seen, found := s.demands[model]
	if !found {
		seen = newDemand(now)
		s.demands[model] = seen
	}
	return seen
}

// limit returns a tenant's limit, anew if its budget was changed.
func (s *Scheduler) limit(now time.Duration, tenant *dynamic.Tenant) *admission.TenantLimit {
	known, found := s.limits[tenant.Name]
	if found && known.tokensPerSecond == tenant.TokensPerSecond && known.burst == tenant.BurstTokens {
		return known.limit
	}
	known = &tenantLimit{
		limit:           admission.NewTenantLimit(now, tenant.TokensPerSecond, tenant.BurstTokens),
		tokensPerSecond: tenant.TokensPerSecond,
		burst:           tenant.BurstTokens,
	}
	s.limits[tenant.Name] = known
	return known.limit
}
