package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pierhaven/pierhaven/bench/faultproxy"
	"github.com/pierhaven/pierhaven/internal/coordinator"
)

const (
	// firstSpare is the number of the first coordinator that is added, above those of all other processes.
	firstSpare = 100
	// shortestAway and longestAway bound how long a coordinator is away that comes back.
	shortestAway = time.Second
	longestAway  = 6 * time.Second
	// replacements is the share of the steps in which a coordinator is replaced by one at a new address, and spareLosses the
	// share of those in which another one is lost while the successor runs beside the one that is to go.
	replacements = 0.5
	spareLosses  = 0.8
	// notices is the share of the coordinators that are told before they go for good, and seedChanges of those whose settings
	// name the new seeds at once.
	notices     = 0.6
	seedChanges = 0.5
	// memberPause is the pause between two looks at the members.
	memberPause = 100 * time.Millisecond
)

// losses are what happens to one coordinator that comes back, with its disk or without.
var losses = []harmful{
	{"freeze", func(s *soak, ctx context.Context) { s.freezeFor(ctx, s.victim(), s.away()) }},
	{"kill and start", func(s *soak, ctx context.Context) { s.stopFor(ctx, s.victim(), syscall.SIGKILL, s.away()) }},
	{"stop and start", func(s *soak, ctx context.Context) { s.stopFor(ctx, s.victim(), syscall.SIGTERM, s.away()) }},
	{"cut off", func(s *soak, ctx context.Context) {
		name := s.victim().name
		s.cutFor(ctx, s.away(), faultproxy.Match{Source: name}, faultproxy.Match{Destination: name})
	}},
	{"cut off one way", func(s *soak, ctx context.Context) {
		s.cutFor(ctx, s.away(), faultproxy.Match{Source: s.victim().name})
	}},
	{"lose the disk", func(s *soak, ctx context.Context) { s.loseDisk(ctx, s.victim(), s.away()/2) }},
}

// changeMembers has coordinators go away one at a time, and replaces some by others at new addresses, until the duration is
// over, or a broken promise is noticed that is waited for. The loss of one is over settleTime after its return; one that has gone
// for good is none any more once its successor has run for that time.
func (s *soak) changeMembers(ctx context.Context) {
	end := time.Now().Add(s.options.Duration)
	pause(ctx, settleTime)
	for ctx.Err() == nil && time.Now().Before(end) && !s.waitedFor() {
		if s.random.Float64() < replacements {
			s.replaceCoordinator(ctx)
		} else {
			s.loseOne(ctx)
		}
	}
}

// loseOne has one coordinator away for a time.
func (s *soak) loseOne(ctx context.Context) {
	s.countFault()
	kind := losses[int(s.random.Float64()*float64(len(losses)))]
	s.note("%s", kind.name)
	kind.do(s, ctx)
	back := time.Now()
	s.awaitMembers(ctx, kind.name)
	pause(ctx, settleTime-time.Since(back))
}

// awaitMembers checks that settleTime after the loss of a coordinator all that run are members, and as many vote as are wanted.
func (s *soak) awaitMembers(ctx context.Context, after string) {
	problem := ""
	for deadline := time.Now().Add(settleTime); ctx.Err() == nil && time.Now().Before(deadline); pause(ctx, memberPause) {
		if problem = s.missingMember(ctx); problem == "" {
			return
		}
	}
	if ctx.Err() == nil {
		s.truth.report("%s after %s: %s", settleTime, after, problem)
	}
}

// missingMember says which coordinator runs and is no member, or who doesn't vote, as the leader sees it; empty if all is well.
func (s *soak) missingMember(ctx context.Context) string {
	led := "no coordinator leads"
	for _, each := range s.fleet.running() {
		group, err := s.groupAt(ctx, each.address)
		switch {
		case err != nil:
			return fmt.Sprintf("%s: %v", each.name, err)
		case !group.Member:
			return each.name + " is no member"
		case group.Leader == group.Address:
			led = votersMissing(&group)
		}
	}
	return led
}

// votersMissing says what a leader's group lacks, empty if nothing.
func votersMissing(group *coordinator.GroupReport) string {
	voters := 0
	for _, member := range group.Members {
		if member.Voter && !member.Heard {
			return member.Address + " votes and isn't heard"
		}
		if member.Voter {
			voters++
		}
	}
	if voters != group.WantedVoters {
		return fmt.Sprintf("%d vote where %d are wanted", voters, group.WantedVoters)
	}
	return ""
}

// groupAt asks a coordinator how it sees the group.
func (s *soak) groupAt(ctx context.Context, address string) (group coordinator.GroupReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+coordinator.PathGroup, nil)
	if err != nil {
		return group, err
	}
	answer, err := s.client.Do(request)
	if err != nil {
		return group, err
	}
	defer func() { _ = answer.Body.Close() }()
	return group, json.NewDecoder(answer.Body).Decode(&group)
}

// replaceCoordinator adds a coordinator at a new address, and ends another one for good.
func (s *soak) replaceCoordinator(ctx context.Context) {
	s.countFault()
	old := s.fleet.running()
	added, err := s.fleet.addCoordinator(s.options)
	if err != nil {
		s.truth.report("no coordinator is added: %v", err)
		return
	}
	s.note("%s is added", added.name)
	pause(ctx, settleTime)
	for s.random.Float64() < spareLosses && !s.waitedFor() {
		s.loseOne(ctx)
	}
	gone := old[int(s.random.Float64()*float64(len(old)))]
	signal := syscall.SIGKILL
	if s.random.Float64() < notices {
		signal = syscall.SIGTERM
	}
	s.note("%s goes for good: %s", gone.name, signal)
	gone.end(signal)
	s.fleet.remove(gone)
	s.tellSeeds()
	if signal == syscall.SIGKILL {
		// Nobody can know that it is gone before it has been silent.
		s.awaitMembers(ctx, "the end of "+gone.name)
	}
}

// tellSeeds has some of the processes name the coordinators that there are.
func (s *soak) tellSeeds() {
	for _, each := range s.fleet.all() {
		if s.random.Float64() < seedChanges {
			if err := each.setSeeds(s.fleet.seeds()); err != nil {
				s.truth.report("%s: %v", each.name, err)
			}
		}
	}
}

func (s *soak) note(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.options.Log, "seed %d: %s\n", s.options.Seed, fmt.Sprintf(format, arguments...))
}

// victim draws a coordinator that is lost. Only the goroutine that does the harm calls it.
func (s *soak) victim() *process { return s.anyOf(s.fleet.running()) }

// away draws for how long a coordinator is away.
func (s *soak) away() time.Duration {
	return shortestAway + time.Duration(s.random.Float64()*float64(longestAway-shortestAway))
}

func (s *soak) freezeFor(ctx context.Context, harmed *process, away time.Duration) {
	s.note("%s freezes for %s", harmed.name, away)
	harmed.signal(syscall.SIGSTOP)
	pause(ctx, away)
	harmed.signal(syscall.SIGCONT)
}

func (s *soak) stopFor(ctx context.Context, harmed *process, signal syscall.Signal, away time.Duration) {
	s.note("%s gets %s, and starts again after %s", harmed.name, signal, away)
	harmed.end(signal)
	pause(ctx, away)
	s.startAgain(harmed)
}

func (s *soak) cutFor(ctx context.Context, away time.Duration, links ...faultproxy.Match) {
	s.note("%v are cut for %s", links, away)
	for _, link := range links {
		defer s.fleet.proxy.Apply(link, cutOff)()
	}
	pause(ctx, away)
}

// loseDisk has a coordinator lose its disk, and waits until service has come back.
func (s *soak) loseDisk(ctx context.Context, harmed *process, away time.Duration) {
	s.note("%s loses its disk, and starts again after %s", harmed.name, away)
	harmed.end(syscall.SIGKILL)
	if err := os.RemoveAll(harmed.folder); err != nil {
		s.truth.report("%s: %v", harmed.name, err)
	}
	pause(ctx, away)
	s.startAgain(harmed)
	s.awaitService(ctx, "after the loss of a disk")
}

// running returns the coordinators that have not gone for good.
func (f *fleet) running() []*process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.coordinators)
}

// addCoordinator starts a coordinator at a new address.
func (f *fleet) addCoordinator(options Options) (*process, error) {
	f.mutex.Lock()
	number := firstSpare + f.added
	f.added++
	f.mutex.Unlock()
	if err := f.lay(number, options); err != nil {
		return nil, err
	}
	running := f.running()
	added := running[len(running)-1]
	return added, added.start()
}

// remove takes a coordinator that has ended off the fleet.
func (f *fleet) remove(gone *process) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.coordinators = slices.DeleteFunc(f.coordinators, func(each *process) bool { return each == gone })
	_ = gone.log.Close()
}

// seeds returns the operators' addresses of the coordinators, as settings name them.
func (f *fleet) seeds() []string {
	var seeds []string
	for _, each := range f.running() {
		seeds = append(seeds, fmt.Sprintf("%q", each.address))
	}
	return seeds
}

// setSeeds has the settings name other seeds, and tells the process.
func (p *process) setSeeds(seeds []string) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.text = strings.Replace(p.text, seedsLine(p.seeds), seedsLine(seeds), 1)
	p.seeds = seeds
	if time.Since(p.startedAt) < startTime {
		return nil
	}
	if err := os.WriteFile(p.settings, []byte(p.text), 0o600); err != nil {
		return err
	}
	return p.command.Process.Signal(syscall.SIGHUP)
}
