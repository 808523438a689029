package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process is one real process of the fleet.
type process struct {
	name     string
	role     string
	settings string
	// address takes callers at gateways and operators at coordinators.
	address string
	folder  string
	// seeds are those in the settings, as they are written there, and text the settings.
	seeds []string
	text  string
	// binary is the program that it runs, and endOlder ends the time in which it is a gateway of an
	// earlier build, nil for any other.
	binary   string
	endOlder func()

	mutex     sync.Mutex
	command   *exec.Cmd
	startedAt time.Time
	done      chan struct{}
	log       *os.File
}

// start starts the process.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := os.WriteFile(p.settings, []byte(p.text), 0o600); err != nil {
		return err
	}
	command := exec.Command(p.binary, p.role, "--settings", p.settings)
	// A program without the race detector ignores it.
	command.Env = append(os.Environ(), "GORACE=log_path="+filepath.Join(filepath.Dir(p.settings), raceLog))
	command.Stdout = p.log
	command.Stderr = p.log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done, p.startedAt = command, done, time.Now()
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process that this soak has started.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// startTime is how long a process may take until it has read its settings and receives signals. Before that, it has to
// refuse a file that is cut short, and a hangup ends it.
const startTime = 2 * time.Second

// changeSettings lists the seeds in another order, first in a file that is cut short, and tells the process of each.
// A process that is still starting is left alone.
func (p *process) changeSettings() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if time.Since(p.startedAt) < startTime {
		return nil
	}
	rotated := append(slices.Clone(p.seeds[1:]), p.seeds[0])
	p.text = strings.Replace(p.text, seedsLine(p.seeds), seedsLine(rotated), 1)
	p.seeds = rotated
	for _, text := range []string{p.text[:len(p.text)/2], p.text} {
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGHUP)
		}
		time.Sleep(cutShortTime)
	}
	return nil
}

// cutShortTime is how long a settings file stays cut short.
const cutShortTime = 20 * time.Millisecond

func seedsLine(seeds []string) string { return fmt.Sprintf("seeds: [%s]", strings.Join(seeds, ", ")) }

// end sends a signal and waits for the process's end.
func (p *process) end(signal syscall.Signal) {
	p.signal(signal)
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	if done != nil {
		<-done
	}
}

// limitFiles bounds the size in bytes to which the process's files may grow.
func (p *process) limitFiles(bytes uint64) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	return unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
