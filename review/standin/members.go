package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	// catchUp is CatchUpS, after which a machine that has returned, or is new, counts as lost no more. A second is added to it.
	catchUp = 5 * time.Second
	// frozen is how long a machine of the core stands still (node_freeze), wiped how long one that loses its disk is away
	// (after_ack_wipe).
	frozen = 5 * time.Second
	wiped  = 2100 * time.Millisecond
	// readBack is for how long the operator asks for the configuration.
	readBack = 25 * time.Second
)

// readVersion asks a coordinator for the configuration in force. The version is 0 if it doesn't come.
func (r *region) readVersion(core int) (version, status int) {
	client := http.Client{Timeout: 2 * time.Second}
	answer, err := client.Get("http://" + r.address(firstCore+core, controlPort) + "/pierhaven/Config.Get")
	if err != nil {
		return 0, 0
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	var read configuration
	if err != nil || answer.StatusCode != http.StatusOK || json.Unmarshal(body, &read) != nil {
		return 0, answer.StatusCode
	}
	return read.Version, answer.StatusCode
}

// awaitVersion reads the configuration back from all running coordinators in turn until one tells a version, and returns the
// newest that any has told.
func (r *region) awaitVersion(cores []int, wanted int, limit time.Duration) int {
	newest := 0
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, core := range cores {
			version, status := r.readVersion(core)
			r.record.note("Config.Get at core-%d: status %d, version %d", core+1, status, version)
			newest = max(newest, version)
		}
		if newest >= wanted {
			return newest
		}
	}
	return newest
}

// freeze has a machine's process stand still for a time.
func (r *region) freeze(p *process, away time.Duration) {
	r.record.note("%s freezes", p.name)
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(away)
	_ = p.command.Process.Signal(syscall.SIGCONT)
	r.record.note("%s wakes after %s", p.name, away)
}

// wipe kills a machine's process, and starts it again after a time without its disk.
func (r *region) wipe(p *process, away time.Duration) error {
	r.record.note("%s loses its disk", p.name)
	r.kill(p)
	data := filepath.Join(r.folder, p.name, "data")
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	if err := os.Mkdir(data, 0o700); err != nil {
		return err
	}
	time.Sleep(away)
	r.record.note("%s is back after %s with an empty disk", p.name, away)
	return r.startAgain(p)
}

// members shows what becomes of the configuration when one machine of the core is replaced as planned, another freezes for some
// seconds before that is over, and later a third one loses its disk. No two of them are lost at the same time.
func members(record *record, trouble bool) (bool, error) {
	r, err := newRegion(record)
	if err != nil {
		return false, err
	}
	defer r.close()
	if err := r.startAll(20 * time.Millisecond); err != nil {
		return false, err
	}
	if _, err := r.replaceConfiguration(10, configurationOf(10, 100), 20*time.Second); err != nil {
		return false, err
	}
	if err := r.awaitReady(fronts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	record.note("core-4 is added at a new address, with an empty disk, in order to replace core-1")
	if err := r.startAdded(3); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	core := func(number int) *process { return r.processes["core-"+strconv.Itoa(number)] }
	if trouble {
		r.freeze(core(2), frozen)
	} else {
		time.Sleep(frozen)
	}
	time.Sleep(catchUp)
	record.note("core-1 gets SIGTERM and is gone for good")
	_ = core(1).command.Process.Signal(syscall.SIGTERM)
	select {
	case <-core(1).ended:
	case <-time.After(graceSeconds * time.Second):
		r.kill(core(1))
	}
	time.Sleep(catchUp)
	// The operator's list, from which settings take their seeds, no longer has core-1.
	r.seeds = []int{firstCore + 1, firstCore + 2, firstCore + 3}
	if err := r.replaceAt(2, 20, configurationOf(20, 100)); err != nil {
		return false, err
	}
	if err := r.wipe(core(3), wiped); err != nil {
		return false, err
	}
	newest := r.awaitVersion([]int{1, 2, 3}, 20, readBack)
	if err := r.noteConsequences(); err != nil {
		return false, err
	}
	record.note("version 20 was acknowledged; over %s after core-3 was back, the newest version that any coordinator told was %d", readBack, newest)
	return newest < 20, nil
}

// noteConsequences notes whether a later version is acknowledged, and whether a gateway that starts again is ready. It decides
// nothing.
func (r *region) noteConsequences() error {
	for core := 1; core <= 3; core++ {
		answered, err := post("http://"+r.address(firstCore+core, controlPort)+"/pierhaven/Config.Replace", configurationOf(30, 100))
		r.record.note("version 30 at core-%d: status %d %v", core+1, answered, err)
	}
	core := r.processes["core-2"]
	r.kill(core)
	if err := r.startAgain(core); err != nil {
		return err
	}
	r.record.note("core-2 was killed and started again: newest version read back within 8 s: %d", r.awaitVersion([]int{1, 2, 3}, 20, 8*time.Second))
	front := r.processes["front-1"]
	r.kill(front)
	if err := r.startAgain(front); err != nil {
		return err
	}
	err := r.awaitReady(1, 10*time.Second)
	r.record.note("front-1 was killed and started again: %v", err)
	return nil
}

// replaceAt sends a configuration to one coordinator until that acknowledges it.
func (r *region) replaceAt(core, version int, body []byte) error {
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		status, err := post("http://"+r.address(firstCore+core, controlPort)+"/pierhaven/Config.Replace", body)
		r.record.note("version %d at core-%d: status %d %v", version, core+1, status, err)
		if status == http.StatusOK {
			return nil
		}
		if time.Now().After(until) {
			return errNotAcknowledged
		}
	}
}
