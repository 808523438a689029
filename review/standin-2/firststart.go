package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// lastStart is within which time all machines start.
	lastStart = 300 * time.Millisecond
	// successorAfter is after how long an empty machine takes the place of the one that is gone, and seedsAfter after how
	// long the settings name it as a seed.
	successorAfter = 2 * time.Second
	seedsAfter     = 3 * time.Second
	// catchUp and recoverTime are the site's CatchUpS and RecoverS, and patienceBeyond is more time than the pages give.
	catchUp        = 4 * time.Second
	recoverTime    = 12 * time.Second
	patienceBeyond = 30 * time.Second
	firstGateways  = 3
)

// runFirstStart starts the region for the first time. One core machine is gone for good before its process starts, and an
// empty one is added at another address.
func runFirstStart(written *record, trouble bool) (bool, error) {
	created, err := newRegion(written, firstGateways)
	if err != nil {
		return false, err
	}
	running = created
	if _, err := created.addFloorReplicas(); err != nil {
		return false, err
	}
	if err := created.startFirst(trouble); err != nil {
		return false, err
	}
	configuration := floorConfiguration(1)
	// From now on all machines that are left or were added have had the time that the pages give, and some more.
	end := time.Now().Add(catchUp + recoverTime + patienceBeyond)
	acknowledged, served, sent := 0, 0, 0
	for number := 0; time.Now().Before(end) && served < len(created.gateways); number++ {
		if acknowledged == 0 {
			operated := created.seeds[number%len(created.seeds)]
			status := created.replace(operated, configuration)
			written.write("operator sent version 1 to %s and got %d", operated.name, status)
			if status == http.StatusOK {
				acknowledged++
			}
		}
		gateway := created.gateways[number%len(created.gateways)]
		id := fmt.Sprintf("%016x", 0x51a0000000000000+uint64(number))
		status, _, body, err := send(gateway, id)
		sent++
		written.write("client sent %s to %s, which is ready: %v; it got %d, body %.90q, error %v", id, gateway.name, created.isReady(gateway), status, body, err)
		if err == nil && status == http.StatusOK {
			served++
		}
		time.Sleep(500 * time.Millisecond)
	}
	written.write("%d of %d requests were served, the configuration was acknowledged: %v", served, sent, acknowledged > 0)
	return served > 0, nil
}

// startFirst starts all machines as on the first start of the whole system.
func (r *region) startFirst(trouble bool) error {
	first := append(append([]*process{}, r.seeds[:2]...), r.gateways...)
	for _, each := range first {
		if err := r.start(each); err != nil {
			return err
		}
		r.record.write("%s starts", each.name)
	}
	time.Sleep(lastStart)
	lost, successor := r.seeds[2], r.coordinators[3]
	if !trouble {
		r.record.write("%s starts", lost.name)
		return r.start(lost)
	}
	r.record.write("the machine of %s is gone for good, before its process has started", lost.name)
	time.Sleep(successorAfter)
	if err := r.writeSettings(successor, false); err != nil {
		return err
	}
	r.record.write("%s starts in its place, at another address and with an empty disk", successor.name)
	if err := r.start(successor); err != nil {
		return err
	}
	time.Sleep(seedsAfter)
	r.seeds = []*process{r.seeds[0], r.seeds[1], successor}
	for _, each := range append(first, successor) {
		if err := r.writeSettings(each, each != successor); err != nil {
			return err
		}
		each.signal(syscall.SIGHUP)
	}
	r.record.write("the settings name %s as a seed in the place of %s, and all processes got SIGHUP", successor.name, lost.name)
	return nil
}
