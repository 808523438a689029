package soak

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pierhaven/pierhaven/internal/testnet/crowd"
)

const (
	// crowdMegabytes and crowdDescriptors are what each process may hold beside crowds.
	crowdMegabytes   = 96
	crowdDescriptors = 400
	// idleClients are more than the places of callers that these descriptors leave.
	idleClients = 170
	// idleRedial is after how long an idle client that was turned away comes again.
	idleRedial = 300 * time.Millisecond
	// fewestClients and mostClients bound a crowd, crowdTime how long it stays, and crowdPause the pause before the next one.
	fewestClients = 10
	mostClients   = 60
	crowdTime     = 2 * time.Second
	crowdPause    = time.Second
	// crowdBodyBytes and crowdHeaderBytes are the limits that crowds keep to, or break.
	crowdBodyBytes   = 16 << 20
	crowdHeaderBytes = 64 << 10
)

// crowdAddress is a listener that crowds meet, with a path that is served there.
type crowdAddress struct{ address, path string }

// crowdAddresses returns all listeners of all processes.
func (s *soak) crowdAddresses() (addresses []crowdAddress) {
	for number := range coordinators {
		ip := s.fleet.ip(number)
		addresses = append(addresses,
			crowdAddress{fmt.Sprintf("%s:%d", ip, operatorPort), "/pierhaven/Config.Replace"},
			crowdAddress{fmt.Sprintf("%s:%d", s.fleet.hiddenIP(number), internalPort), "/internal/v1/consensus"},
			crowdAddress{fmt.Sprintf("%s:%d", ip, metricsPort), "/metrics"})
	}
	for number := coordinators; number < coordinators+gateways; number++ {
		ip := s.fleet.ip(number)
		addresses = append(addresses,
			crowdAddress{fmt.Sprintf("%s:%d", ip, callerPort), onceRoute},
			crowdAddress{fmt.Sprintf("%s:%d", ip, internalPort), onceRoute},
			crowdAddress{fmt.Sprintf("%s:%d", ip, readyPort), "/pierhaven/readyz"},
			crowdAddress{fmt.Sprintf("%s:%d", ip, metricsPort), "/metrics"})
	}
	return addresses
}

// sendCrowds has crowds of clients that don't behave meet the listeners, one after the other, until the context ends. With even seeds an
// idle crowd stays at the callers' listeners meanwhile.
func (s *soak) sendCrowds(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	if s.options.Seed%2 == 0 {
		for number := range gateways * idleClients {
			running.Go(func() { s.stayIdle(ctx, number) })
		}
	}
	addresses := s.crowdAddresses()
	for ctx.Err() == nil {
		met := addresses[int(s.draw()*float64(len(addresses)))]
		groups := crowd.Groups(crowd.Target{Host: host, Path: met.path, MaxHeaderBytes: crowdHeaderBytes, MaxBodyBytes: crowdBodyBytes})
		group := groups[int(s.draw()*float64(len(groups)))]
		count := fewestClients + int(s.draw()*(mostClients-fewestClients))
		_, _ = fmt.Fprintf(s.options.Log, "seed %d: %d clients with %s at %s\n", s.options.Seed, count, group.Name, met.address)
		s.meet(ctx, met.address, group.Clients, count)
		s.truth.countCrowd()
		pause(ctx, time.Duration(s.draw()*float64(crowdPause)))
	}
}

// meet has a crowd send to a listener for a time.
func (s *soak) meet(ctx context.Context, address string, clients []crowd.Client, count int) {
	ending, cancel := context.WithTimeout(ctx, time.Duration(s.draw()*float64(crowdTime)))
	defer cancel()
	var running sync.WaitGroup
	for number := range count {
		running.Go(func() { clients[number%len(clients)].Send(ending, address) })
	}
	running.Wait()
}

// stayIdle has a client be idle at a gateway, and come again when it is turned away.
func (s *soak) stayIdle(ctx context.Context, number int) {
	groups := crowd.Idle(crowd.Target{Host: host, Path: onceRoute})
	client := groups[number%len(groups)].Clients[0]
	address := fmt.Sprintf("%s:%d", s.fleet.ip(coordinators+number%gateways), callerPort)
	for ctx.Err() == nil {
		client.Send(ctx, address)
		pause(ctx, idleRedial)
	}
}

// allowedMegabytes returns what each process may hold.
func (o *Options) allowedMegabytes() int {
	if o.Crowds && !o.Endless {
		return crowdMegabytes
	}
	return memoryMegabytes
}

// watchDescriptors reports processes that hold more descriptors than they may.
func (s *soak) watchDescriptors(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, memoryInterval)
		for _, each := range s.fleet.all() {
			if open := each.descriptors(); open > crowdDescriptors {
				s.truth.report("%s has %d descriptors, and may have %d", each.name, open, crowdDescriptors)
				s.restart(ctx, each, syscall.SIGKILL)
			}
		}
	}
}

// descriptors returns the number of the process's open files, 0 if it does not run.
func (p *process) descriptors() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(open)
}

// countCrowd counts a crowd.
func (t *truth) countCrowd() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.crowds++
}
