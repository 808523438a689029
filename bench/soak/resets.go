package soak

import (
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

const (
	// resetTime and resetPause are the mean times for which engines reset requests, and between two of these.
	resetTime  = 5 * time.Second
	resetPause = time.Second
)

// retryBudget is the retry budget of the gateways together, over retryWindow.
type retryBudget struct {
	ratio float64
	slack int
}

const retryWindow = 10 * time.Second

// retryBudget returns the one of a soak. Where engines reset requests it is so small that they use it up.
func (o *Options) retryBudget() retryBudget {
	if o.Resets {
		return retryBudget{ratio: 0.02, slack: 10}
	}
	return retryBudget{ratio: 0.2, slack: 50}
}

// resetStep is the step of a request at which an engine resets the connection.
type resetStep int

const (
	resetNever resetStep = iota
	resetAtRequest
	// resetInHead breaks off a prompt's answer, or a stream before its first event.
	resetInHead
	resetAfterFirstEvent
	resetLater
	resetSteps
)

// writesBefore are the writes of an answer before each step that comes after some.
var writesBefore = map[resetStep]int{resetNever: math.MaxInt, resetAfterFirstEvent: 2, resetLater: 6}

// resetting is which engines reset which share of their requests, and at which step; resetNever stands for any.
type resetting struct {
	engines map[string]bool
	share   float64
	step    resetStep
}

// varyResets has one, some or all engines reset a share of their requests, drawn anew again and again.
func (s *soak) varyResets(ctx context.Context) {
	for ctx.Err() == nil {
		drawn := s.drawResets()
		s.setResets(drawn)
		pause(ctx, s.around(resetTime))
		s.setResets(resetting{})
		pause(ctx, s.around(resetPause))
	}
}

func (s *soak) drawResets() resetting {
	drawn := resetting{engines: map[string]bool{}, share: s.draw()}
	if s.roll(0.5) {
		drawn.step = s.anyResetStep()
	}
	some := s.draw()
	for number := range engines {
		drawn.engines[engineName(number)] = s.draw() < some
	}
	switch {
	case s.roll(0.3):
		drawn.engines = map[string]bool{engineName(int(s.draw() * engines)): true}
	case s.roll(0.5):
		for number := range engines {
			drawn.engines[engineName(number)] = true
		}
	}
	return drawn
}

func (s *soak) anyResetStep() resetStep {
	return resetAtRequest + resetStep(s.draw()*float64(resetSteps-resetAtRequest))
}

func (s *soak) setResets(drawn resetting) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resets = drawn
}

// resetStepFor draws at which step an engine resets a request, resetNever for most.
func (s *soak) resetStepFor(engine string) resetStep {
	s.mutex.Lock()
	resets := s.resets
	s.mutex.Unlock()
	switch {
	case !resets.engines[engine] || s.draw() >= resets.share:
		return resetNever
	case resets.step == resetNever:
		return s.anyResetStep()
	}
	return resets.step
}

// resetsRequests returns a handler that resets some requests of an engine and notes its arrivals, and does otherwise what another
// one does.
func (s *soak) resetsRequests(name string, _ int, inner http.Handler) http.Handler {
	if !isEngine(name) {
		return inner
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		id, isPrompt := platformtest.ArrivalOf(request)
		if id == "" {
			inner.ServeHTTP(writer, request)
			return
		}
		at := time.Now()
		step := s.resetStepFor(name)
		watched := &resettingWriter{ResponseWriter: writer, left: writesBefore[step]}
		if step != resetNever {
			s.truth.brokeOff(id)
		}
		defer func() {
			s.truth.arrivedAtEngine(engineArrival{request: id, at: at, promptTaken: isPrompt && watched.status == http.StatusOK, prompt: isPrompt, reset: step != resetNever})
		}()
		if step == resetAtRequest {
			watched.reset()
			return
		}
		inner.ServeHTTP(watched, request)
	})
}

// isEngine reports whether a stand-in is a model replica.
func isEngine(name string) bool { return strings.HasPrefix(name, enginePrefix) }

// resettingWriter resets the connection in the middle of a write after a number of them.
type resettingWriter struct {
	http.ResponseWriter
	left, status int
	gone         bool
}

// WriteHeader implements http.ResponseWriter.
func (w *resettingWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *resettingWriter) Write(data []byte) (int, error) {
	if w.gone {
		return 0, http.ErrHijacked
	}
	if w.status == 0 {
		w.status = http.StatusOK
	}
	if w.left > 0 {
		w.left--
		return w.ResponseWriter.Write(data)
	}
	_, _ = w.ResponseWriter.Write(data[:len(data)/2])
	w.Flush()
	w.reset()
	return 0, http.ErrHijacked
}

// Flush implements http.Flusher.
func (w *resettingWriter) Flush() {
	if !w.gone {
		w.ResponseWriter.(http.Flusher).Flush()
	}
}

func (w *resettingWriter) reset() {
	connection, _, err := w.ResponseWriter.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	w.gone = true
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// engineArrival is a request that came to an engine.
type engineArrival struct {
	request string
	at      time.Time
	// promptTaken says that the engine has read a prompt for another one: the first of a request is no arrival.
	promptTaken   bool
	prompt, reset bool
}

// engineArrivals are what engines and callers have seen of the requests to engines.
type engineArrivals struct {
	mutex    sync.Mutex
	requests []time.Time
	arrived  []engineArrival
}

// asksEngines notes that a caller sends a request to a route of the engines.
func (t *truth) asksEngines() {
	t.engines.mutex.Lock()
	defer t.engines.mutex.Unlock()
	t.engines.requests = append(t.engines.requests, time.Now())
}

func (t *truth) arrivedAtEngine(came engineArrival) {
	t.engines.mutex.Lock()
	defer t.engines.mutex.Unlock()
	t.engines.arrived = append(t.engines.arrived, came)
}

// resetCounts counts the requests that engines have reset, prompts to be read apart among them. Retries is the most arrivals past
// the first in a window, of Allowed.
type resetCounts struct{ Requests, Prompts, Retries, Allowed int }

// judgeRetries checks that the arrivals past the first of each request stay within the retry budget in each window.
func (t *truth) judgeRetries(budget retryBudget) (counts resetCounts) {
	t.engines.mutex.Lock()
	arrived, requests := slices.Clone(t.engines.arrived), slices.Clone(t.engines.requests)
	t.engines.mutex.Unlock()
	for _, each := range arrived {
		if each.reset {
			counts.Requests++
		}
		if each.reset && each.prompt {
			counts.Prompts++
		}
	}
	retries := retriesOf(arrived)
	for first, from := range retries {
		count := countBetween(retries[first:], from, from.Add(retryWindow))
		most := 0
		for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
			most = max(most, countBetween(requests, from.Add(-back), from.Add(retryWindow-back)))
		}
		allowed := int(budget.ratio*float64(most)) + budget.slack
		if count*max(counts.Allowed, 1) > counts.Retries*allowed {
			counts.Retries, counts.Allowed = count, allowed
		}
	}
	if counts.Retries > counts.Allowed {
		t.report("engines: %d arrivals past the first of their request in %s; allowed %d", counts.Retries, retryWindow, counts.Allowed)
	}
	return counts
}

// retriesOf returns when the arrivals past the first of each request came, in order.
func retriesOf(arrived []engineArrival) []time.Time {
	slices.SortFunc(arrived, func(a, b engineArrival) int { return a.at.Compare(b.at) })
	var retries []time.Time
	prompts, counted := map[string]bool{}, map[string]bool{}
	for _, each := range arrived {
		switch {
		case each.promptTaken && !prompts[each.request]:
			prompts[each.request] = true
		case counted[each.request]:
			retries = append(retries, each.at)
		default:
			counted[each.request] = true
		}
	}
	return retries
}

// countBetween counts the times from one on and before another.
func countBetween(times []time.Time, from, to time.Time) (count int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}
