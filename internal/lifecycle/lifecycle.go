// Package lifecycle runs a daemon between its start and its stop.
//
// The first SIGTERM or SIGINT begins a planned stop: the daemon announces that
// it is leaving and finishes what is in flight. The deadline cuts what is left
// and says what that was; so does a second signal, unless the daemon keeps to its
// deadline. SIGQUIT writes the log ring out and lets the daemon run on.
package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

// Defaults of Options.
const (
	DefaultDeadline = 2 * time.Minute
	DefaultCutGrace = 2 * time.Second
)

// ErrCut says that a stop cut work that was in flight.
var ErrCut = errors.New("the stop has cut work in flight")

// Options describe how a daemon stops. Zero values take the defaults.
type Options struct {
	// Deadline bounds a planned stop.
	Deadline time.Duration
	// KeepsDeadline has a second signal change nothing: callers count on the deadline.
	KeepsDeadline bool
	// CutGrace is the time that the daemon gets to return after the cut.
	CutGrace time.Duration
	Logger   logr.Logger
	// OnQuit is called on SIGQUIT, to write the log ring.
	OnQuit func()
	// Signals replaces the process's signals in tests.
	Signals <-chan os.Signal
}

// Scope is what a daemon sees of its own lifecycle.
type Scope struct {
	stopping context.Context
	cut      context.Context

	mutex    sync.Mutex
	inFlight []func() []string
}

// Stopping is done when a planned stop has begun.
func (s *Scope) Stopping() context.Context { return s.stopping }

// Cut is done when the daemon must end now.
func (s *Scope) Cut() context.Context { return s.cut }

// OnCut registers a function that lists what is in flight; it is called once,
// when the stop cuts.
func (s *Scope) OnCut(list func() []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight = append(s.inFlight, list)
}

func (s *Scope) listInFlight() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []string
	for _, list := range s.inFlight {
		all = append(all, list()...)
	}
	return all
}

// Run runs a daemon until it returns or is cut. The result is the daemon's own
// error, or one that wraps ErrCut and lists what was cut.
func Run(options Options, daemon func(scope *Scope) error) error {
	options = withDefaults(options)
	signals := options.Signals
	if signals == nil {
		channel := make(chan os.Signal, 4)
		signal.Notify(channel, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
		defer signal.Stop(channel)
		signals = channel
	}
	stopping, beginStop := context.WithCancel(context.Background())
	defer beginStop()
	cut, beginCut := context.WithCancel(context.Background())
	defer beginCut()
	scope := &Scope{stopping: stopping, cut: cut}
	done := make(chan error, 1)
	go func() { done <- daemon(scope) }()

	reason, err := waitForCut(options, signals, beginStop, done)
	if reason == "" {
		return err
	}
	cutWork := scope.listInFlight()
	beginCut()
	return finishCut(options, reason, cutWork, done)
}

func withDefaults(options Options) Options {
	if options.Deadline == 0 {
		options.Deadline = DefaultDeadline
	}
	if options.CutGrace == 0 {
		options.CutGrace = DefaultCutGrace
	}
	if options.OnQuit == nil {
		options.OnQuit = func() {}
	}
	return options
}

// waitForCut returns the reason of the cut, or "" with the daemon's result.
func waitForCut(options Options, signals <-chan os.Signal, beginStop func(), done <-chan error) (string, error) {
	var deadline <-chan time.Time
	for {
		select {
		case err := <-done:
			return "", err
		case <-deadline:
			return fmt.Sprintf("deadline of %s passed", options.Deadline), nil
		case received := <-signals:
			switch {
			case received == syscall.SIGQUIT:
				options.OnQuit()
			case deadline == nil:
				options.Logger.Info("planned stop begins", "signal", received.String())
				beginStop()
				timer := time.NewTimer(options.Deadline)
				defer timer.Stop()
				deadline = timer.C
			case options.KeepsDeadline:
				options.Logger.Info("planned stop goes on", "signal", received.String())
			default:
				return "second signal " + received.String(), nil
			}
		}
	}
}

func finishCut(options Options, reason string, cutWork []string, done <-chan error) error {
	cutError := fmt.Errorf("%w: %s: %s", ErrCut, reason, describe(cutWork))
	options.Logger.Info("stop cuts", "reason", reason, "work", cutWork)
	grace := time.NewTimer(options.CutGrace)
	defer grace.Stop()
	select {
	case err := <-done:
		return errors.Join(cutError, err)
	case <-grace.C:
		return cutError
	}
}

func describe(work []string) string {
	if len(work) == 0 {
		return "nothing was listed as in flight"
	}
	return strings.Join(work, ", ")
}
