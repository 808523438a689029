package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// planPause is the longest pause between two steps of planned work.
	planPause = 900 * time.Millisecond
	// hangUps is the share of SIGHUP among the steps.
	hangUps = 0.3
	// drainTime is how long an engine is at least shown as draining before it ends, drainLimit at most, and drainEvery
	// the mean time between two.
	drainTime  = 4 * time.Second
	drainLimit = 12 * time.Second
	drainEvery = 700 * time.Millisecond
)

// plan stops and starts gateways and coordinators, beside each other and in series, until the duration is over, or a
// broken promise is noticed that is waited for. One coordinator at a time is stopped, so that the others stay a majority.
func (s *soak) plan(ctx context.Context) {
	ending, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	var running sync.WaitGroup
	for _, processes := range [][]*process{s.fleet.gateways, s.fleet.coordinators} {
		running.Go(func() {
			for ending.Err() == nil && !s.waitedFor() {
				s.planned(ctx, processes[int(s.draw()*float64(len(processes)))])
				pause(ending, time.Duration(s.draw()*float64(planPause)))
			}
		})
	}
	running.Wait()
}

// planned does one step of planned work on a process.
func (s *soak) planned(ctx context.Context, process *process) {
	s.countFault()
	if s.draw() < hangUps {
		_, _ = fmt.Fprintf(s.options.Log, "seed %d: hang up %s\n", s.options.Seed, process.name)
		s.hangUp(process)
		return
	}
	_, _ = fmt.Fprintf(s.options.Log, "seed %d: stop %s\n", s.options.Seed, process.name)
	ends := s.truth.plans(process.name)
	defer ends()
	process.end(syscall.SIGTERM)
	pause(ctx, time.Duration(s.draw()*float64(planPause)))
	s.startAgain(process)
}

// countFault counts a step.
func (s *soak) countFault() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults++
}

// listLag is how old the platform's list is.
func (s *soak) listLag() time.Duration {
	if s.options.LongList {
		return longListLag
	}
	return 0
}

// releaseEngines replaces engines by plan until the context ends: one is shown as draining, ends once it runs nothing,
// and comes back as another life.
func (s *soak) releaseEngines(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, s.around(drainEvery))
		number := int(s.draw() * engines)
		name := engineName(number)
		s.fleet.setDraining(name, true)
		s.truth.drains(name, time.Now().Add(s.listLag()))
		pause(ctx, drainTime)
		for deadline := time.Now().Add(drainLimit - drainTime); s.fleet.engines.Running(name) > 0 && time.Now().Before(deadline); {
			pause(ctx, 50*time.Millisecond)
		}
		s.truth.lifeEnded(name)
		if !s.restartEngine(number) {
			return
		}
		s.fleet.setDraining(name, false)
	}
}
