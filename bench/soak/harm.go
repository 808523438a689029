package soak

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pierhaven/pierhaven/bench/faultproxy"
)

// harmful is one kind of fault.
type harmful struct {
	name string
	do   func(s *soak, ctx context.Context)
}

// kinds are the faults that a soak draws from.
var kinds = []harmful{
	{"kill a coordinator", func(s *soak, ctx context.Context) { s.restart(ctx, s.anyOf(s.fleet.coordinators), syscall.SIGKILL) }},
	{"kill a gateway", func(s *soak, ctx context.Context) { s.restart(ctx, s.anyOf(s.fleet.gateways), syscall.SIGKILL) }},
	{"stop a coordinator", func(s *soak, ctx context.Context) { s.restart(ctx, s.anyOf(s.fleet.coordinators), syscall.SIGTERM) }},
	{"stop a gateway", func(s *soak, ctx context.Context) { s.restart(ctx, s.anyOf(s.fleet.gateways), syscall.SIGTERM) }},
	{"freeze a coordinator", func(s *soak, ctx context.Context) { s.freeze(ctx, s.anyOf(s.fleet.coordinators)) }},
	{"freeze a gateway", func(s *soak, ctx context.Context) { s.freeze(ctx, s.anyOf(s.fleet.gateways)) }},
	{"change the settings and hang up", func(s *soak, _ context.Context) { s.hangUp(s.anyOf(s.fleet.all())) }},
	{"kill all coordinators", (*soak).killAll},
	{"wipe a disk", (*soak).wipe},
	{"refuse a coordinator's writes", func(s *soak, ctx context.Context) { s.refuseWrites(ctx, s.anyOf(s.fleet.coordinators)) }},
	{"cut a coordinator off", func(s *soak, ctx context.Context) {
		name := s.anyOf(s.fleet.coordinators).name
		s.disturb(ctx, cutOff, faultproxy.Match{Source: name}, faultproxy.Match{Destination: name})
	}},
	{"cut a coordinator off one way", func(s *soak, ctx context.Context) {
		s.disturb(ctx, cutOff, faultproxy.Match{Source: s.anyOf(s.fleet.coordinators).name})
	}},
	{"cut a gateway off from the coordinators", func(s *soak, ctx context.Context) {
		s.disturb(ctx, cutOff, faultproxy.Match{Source: s.anyOf(s.fleet.gateways).name, Destination: "p*"})
	}},
	{"cut a gateway off from everything", func(s *soak, ctx context.Context) {
		s.disturb(ctx, cutOff, faultproxy.Match{Source: s.anyOf(s.fleet.gateways).name})
	}},
	{"cut a replica off", func(s *soak, ctx context.Context) {
		s.disturb(ctx, cutOff, faultproxy.Match{Destination: replicaName(s.random.IntN(replicas))})
	}},
	{"lose packets everywhere", func(s *soak, ctx context.Context) {
		s.disturb(ctx, faultproxy.Faults{Loss: 0.05, Delay: 2 * time.Millisecond}, faultproxy.Match{})
	}},
	{"slow a replica's link down", func(s *soak, ctx context.Context) {
		slow := faultproxy.Faults{BytesPerSecond: 2000, Delay: 50 * time.Millisecond}
		s.disturb(ctx, slow, faultproxy.Match{Destination: replicaName(s.random.IntN(replicas))})
	}},
	{"cut the platform's list off", func(s *soak, ctx context.Context) {
		s.disturb(ctx, cutOff, faultproxy.Match{Destination: listName})
	}},
	{"reset all connections", func(s *soak, _ context.Context) {
		defer s.truth.disturbs("", "")()
		s.fleet.proxy.Reset(faultproxy.Match{})
	}},
	{"end all connections to replicas in the middle", func(s *soak, _ context.Context) {
		defer s.truth.disturbs("", "")()
		s.fleet.proxy.Truncate(faultproxy.Match{Destination: "i-*"})
	}},
}

// cutOff lets nothing through.
var cutOff = faultproxy.Faults{CutForward: true, CutBackward: true}

// disturb puts faults on links for a time.
func (s *soak) disturb(ctx context.Context, faults faultproxy.Faults, links ...faultproxy.Match) {
	var ends []func()
	for _, link := range links {
		ends = append(ends, s.fleet.proxy.Apply(link, faults), s.truth.disturbs(link.Source, link.Destination))
	}
	pause(ctx, time.Duration(300+s.random.IntN(3500))*time.Millisecond)
	for _, end := range ends {
		end()
	}
}

// harm draws faults until the duration is over, or a broken promise is noticed that is waited for.
func (s *soak) harm(ctx context.Context) {
	end := time.Now().Add(s.options.Duration)
	for ctx.Err() == nil && time.Now().Before(end) && !s.waitedFor() {
		if s.options.Production != "" {
			s.replaceNext(ctx)
		}
		kind := kinds[s.random.IntN(len(kinds))]
		s.faults++
		_, _ = fmt.Fprintf(s.options.Log, "seed %d: %s\n", s.options.Seed, kind.name)
		kind.do(s, ctx)
		pause(ctx, time.Duration(s.random.IntN(900))*time.Millisecond)
	}
}

// waitedFor reports whether a broken promise is noticed that ends the faults.
func (s *soak) waitedFor() bool {
	return s.options.EndsWhenNoticed && s.truth.noticed()
}

func (s *soak) anyOf(processes []*process) *process { return processes[s.random.IntN(len(processes))] }

func (s *soak) restart(ctx context.Context, harmed *process, signal syscall.Signal) {
	if signal == syscall.SIGTERM {
		defer s.truth.plans(harmed.name)()
	} else {
		defer s.truth.disturbs(harmed.name, "")()
	}
	harmed.end(signal)
	pause(ctx, time.Duration(s.random.IntN(800))*time.Millisecond)
	s.startAgain(harmed)
}

func (s *soak) startAgain(harmed *process) {
	if err := harmed.start(); err != nil {
		s.truth.report("%s does not start: %v", harmed.name, err)
	}
}

// hangUp changes a process's settings, and tells it. The process has to stay up.
func (s *soak) hangUp(process *process) {
	err := process.changeSettings()
	if err == nil && !process.hasEnded() {
		return
	}
	s.truth.report("%s has ended because its settings changed, or they can't be written: %v", process.name, err)
	s.startAgain(process)
}

func (s *soak) freeze(ctx context.Context, harmed *process) {
	defer s.truth.disturbs(harmed.name, "")()
	harmed.signal(syscall.SIGSTOP)
	pause(ctx, time.Duration(200+s.random.IntN(2500))*time.Millisecond)
	harmed.signal(syscall.SIGCONT)
}

func (s *soak) killAll(context.Context) {
	for _, each := range s.fleet.coordinators {
		each.end(syscall.SIGKILL)
	}
	for _, each := range s.fleet.coordinators {
		s.startAgain(each)
	}
}

// wipe empties one coordinator's disk. The deployment tolerates the loss of one at a
// time, so it waits until the others are well before and this one is again after.
func (s *soak) wipe(ctx context.Context) {
	s.awaitService(ctx, "before a disk is wiped")
	pause(ctx, settleTime)
	harmed := s.anyOf(s.fleet.coordinators)
	harmed.end(syscall.SIGKILL)
	if err := os.RemoveAll(harmed.folder); err != nil {
		return
	}
	s.startAgain(harmed)
	pause(ctx, settleTime)
}

// refuseWrites lets a process's files grow no more for a time, so that its writes fail as
// on a full disk. The process has to stay up.
func (s *soak) refuseWrites(ctx context.Context, harmed *process) {
	if err := harmed.limitFiles(0); err != nil {
		return
	}
	pause(ctx, time.Duration(300+s.random.IntN(3500))*time.Millisecond)
	if harmed.hasEnded() {
		s.truth.report("%s has ended because its disk refused writes", harmed.name)
		s.startAgain(harmed)
		return
	}
	_ = harmed.limitFiles(unix.RLIM_INFINITY)
}

// settleTime is how long a lost machine still counts as lost after its return.
const settleTime = 4 * time.Second
