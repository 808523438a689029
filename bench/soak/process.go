package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

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
	// binary is the program that it runs, and endOlder ends the time in which it is a gateway of an
	// earlier build, nil for any other.
	binary   string
	endOlder func()

	mutex   sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	log     *os.File
}

// start starts the process.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	command := exec.Command(p.binary, p.role, "--settings", p.settings)
	// A program without the race detector ignores it.
	command.Env = append(os.Environ(), "GORACE=log_path="+filepath.Join(filepath.Dir(p.settings), raceLog))
	command.Stdout = p.log
	command.Stderr = p.log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done = command, done
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
