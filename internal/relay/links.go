package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/links"
)

// TrackLinks has the directory conclude from this process's attempts to connect to replicas whether it has lost its own
// links to a service. It is for processes that send requests to replicas, and must be called before any other use.
func (d *Directory) TrackLinks(options links.Options) {
	d.linkOptions = &options
	d.links = map[string]*links.Tracker{}
	d.linkContexts = map[string]linkContext{}
}

// linksTo returns the tracker of the links to a service, nil if they are not tracked. The caller must hold d.mutex.
func (d *Directory) linksTo(service string) *links.Tracker {
	if d.linkOptions == nil {
		return nil
	}
	tracker, found := d.links[service]
	if !found {
		tracker = links.NewTracker(*d.linkOptions)
		d.links[service] = tracker
	}
	return tracker
}

// ObserveDial records the result of an attempt to connect to an incarnation, nil for a connection, and how long it has taken.
func (d *Directory) ObserveDial(incarnation string, took time.Duration, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica, known := d.replicas[incarnation]
	if !known {
		return
	}
	tracker := d.linksTo(replica.Service)
	if tracker == nil {
		return
	}
	if err != nil {
		d.lostContact(replica, d.clock()-took)
		return
	}
	tracker.Connected(d.clock(), incarnation)
	replica.connectedAgain()
}

// lostContact records that a replica could not be connected to, or that its machine has acknowledged nothing. The attempt
// had begun at a given time. The caller must hold d.mutex.
func (d *Directory) lostContact(replica *Replica, begun time.Duration) {
	tracker := d.linksTo(replica.Service)
	if tracker == nil {
		return
	}
	tracker.Failed(d.clock(), begun, replica.name)
	d.concludeLinks(replica.Service, tracker)
}

// connectedAgain ends the avoidance of a replica that could not be connected to.
func (r *Replica) connectedAgain() {
	if !r.unconnected {
		return
	}
	r.unconnected = false
	r.failures = 0
	r.avoidUntil = 0
}

// heard records an answer of a replica. The caller must hold d.mutex.
func (d *Directory) heard(replica *Replica) {
	if tracker := d.linksTo(replica.Service); tracker != nil {
		tracker.Heard(d.clock(), replica.name)
	}
}

// CutOff reports whether this process has lost its links to a service.
func (d *Directory) CutOff(service string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.isCutOff(service)
}

// isCutOff reports whether this process has lost its links to a service. The caller must hold d.mutex.
func (d *Directory) isCutOff(service string) bool {
	tracker := d.links[service]
	return tracker != nil && tracker.CutOff()
}

// reachesAny reports whether this process has recently connected to a replica of a service, or had an answer of one that it
// can connect to.
func (d *Directory) reachesAny(service string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	tracker := d.links[service]
	return tracker == nil || tracker.Evidence(d.clock()).Reached > 0
}

// CutOffCount returns the number of services to which this process has lost its links.
func (d *Directory) CutOffCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count := 0
	for _, tracker := range d.links {
		if tracker.CutOff() {
			count++
		}
	}
	return count
}

// reportable reports whether other processes may be told that a replica can't be reached: the fault isn't, as far as is
// known, in this process's own links. The caller must hold d.mutex.
func (d *Directory) reportable(replica *Replica) bool {
	tracker := d.links[replica.Service]
	return tracker == nil || tracker.Confirmed(replica.name)
}

// linksWork reports whether this process has recently connected to a replica of a service, or does not track its links.
// The caller must hold d.mutex.
func (d *Directory) linksWork(service string) bool {
	tracker := d.links[service]
	return tracker == nil || !tracker.CutOff() && tracker.ConnectedSince(d.clock()-probePause)
}

// linksContext returns a context that ends once this process has lost its links to a service and nothing is heard on
// connections that were made before, either.
func (d *Directory) linksContext(service string) context.Context {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known, found := d.linkContexts[service]
	if !found {
		known.ctx, known.end = context.WithCancelCause(context.Background())
		d.linkContexts[service] = known
	}
	return known.ctx
}

// linkContext is the context of the links to a service, and the function that ends it.
type linkContext struct {
	ctx context.Context
	end context.CancelCauseFunc
}

// errLinksSilent means that nothing is heard of a service's replicas, and none can be connected to.
var errLinksSilent = errors.New("this gateway has lost its links to the service")

// endSilentLinks ends the context of the links to a service if they are lost and silent. The caller must hold d.mutex.
func (d *Directory) endSilentLinks(service string, tracker *links.Tracker, now time.Duration) {
	if !tracker.CutOff() || !tracker.IsSilent(now) {
		return
	}
	if known, found := d.linkContexts[service]; found {
		known.end(errLinksSilent)
		delete(d.linkContexts, service)
	}
}

// concludeLinks draws a conclusion from the newest evidence. The caller must hold d.mutex.
func (d *Directory) concludeLinks(service string, tracker *links.Tracker) {
	now := d.clock()
	listed := len(d.services[service])
	changed, since := tracker.Step(now, listed)
	if !changed {
		return
	}
	evidence := tracker.Evidence(now)
	logged := event.LinksBack
	if tracker.CutOff() {
		logged = event.LinksLost
	}
	d.logger.Info(logged, "service", service, "lost", evidence.Lost, "reached", evidence.Reached, "replicas", listed,
		"before_ms", (now - since).Milliseconds())
}

const (
	// probesAtOnce is the number of replicas of a service that are probed in one round, probesOnReturn that number once
	// connections can be made again while the links count as lost.
	probesAtOnce   = 3
	probesOnReturn = 8
	// probePause is the time between two rounds, returnPause that time once connections can be made again. returnTime is
	// for how long after a connection they can.
	probePause  = 250 * time.Millisecond
	returnPause = 50 * time.Millisecond
	returnTime  = 300 * time.Millisecond
)

// Probes returns the replicas to which this process is to connect now, to learn whether its links to their services are
// lost or back. It is to be called regularly.
func (d *Directory) Probes() []Identity {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	var probes []Identity
	for service, tracker := range d.links {
		d.concludeLinks(service, tracker)
		d.endSilentLinks(service, tracker, now)
		probes = append(probes, d.probesOf(service, tracker, now)...)
	}
	return probes
}

// probesOf returns the replicas of a service to probe now. The caller must hold d.mutex.
func (d *Directory) probesOf(service string, tracker *links.Tracker, now time.Duration) []Identity {
	doubt := tracker.Doubt(now)
	returning := tracker.CutOff() && tracker.ConnectedSince(now-returnTime)
	switch {
	case doubt == links.NoDoubt:
		return nil
	case returning && tracker.BeginProbes(now, returnPause):
		return d.lostReplicas(tracker, probesOnReturn)
	case returning || !tracker.BeginProbes(now, probePause):
		return nil
	case doubt == links.Silent:
		return d.randomReplicas(service, 1)
	default:
		return d.randomReplicas(service, probesAtOnce)
	}
}

// lostReplicas returns at most count replicas that can't be connected to. The caller must hold d.mutex.
func (d *Directory) lostReplicas(tracker *links.Tracker, count int) []Identity {
	var lost []Identity
	tracker.LostReplicas(func(name string) bool {
		if replica, known := d.replicas[name]; known {
			lost = append(lost, replica.Identity)
		}
		return len(lost) < count
	})
	return lost
}

// Numbers of replicas that are connected to in order to find out whether the fault is that of another replica.
const (
	witnessesOfService = 4
	witnessesOfOthers  = 2
)

// witnesses returns replicas by which this process can tell whether its links work: some of the service whose replica has
// an address, and some of others.
func (d *Directory) witnesses(address string) []Identity {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var same, others []Identity
	for service, listed := range d.services {
		serves := slices.ContainsFunc(listed, func(r *Replica) bool { return r.Address == address })
		if serves {
			same = d.randomReplicas(service, witnessesOfService+1)
		} else if len(others) < witnessesOfOthers {
			others = append(others, d.randomReplicas(service, witnessesOfOthers)...)
		}
	}
	same = slices.DeleteFunc(same, func(each Identity) bool { return each.Address == address })
	return append(same, others...)
}

// drawsPerReplica bounds the random draws for one replica.
const drawsPerReplica = 4

// randomReplicas returns at most count replicas of a service that are not leaving. The caller must hold d.mutex.
func (d *Directory) randomReplicas(service string, count int) []Identity {
	listed := d.services[service]
	var chosen []Identity
	for range drawsPerReplica * count {
		if len(listed) == 0 || len(chosen) == count {
			break
		}
		replica := listed[min(int(d.random()*float64(len(listed))), len(listed)-1)]
		if !replica.removed && !replica.isLeavingForGood() && !slices.Contains(chosen, replica.Identity) {
			chosen = append(chosen, replica.Identity)
		}
	}
	return chosen
}

// Name returns the name of the incarnation.
func (i *Identity) Name() string { return i.name }
