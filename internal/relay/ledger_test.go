package relay_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// arrivalCounter counts what arrives at replicas as the platform does: a prompt that a replica takes up counts only if one
// was taken up before.
type arrivalCounter struct {
	mutex    sync.Mutex
	arrivals map[string]int
	prompts  map[string]bool
}

func (c *arrivalCounter) count(id string, promptTaken bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if promptTaken && !c.prompts[id] {
		c.prompts[id] = true
		return
	}
	c.arrivals[id]++
}

// retries returns the arrivals past the first of each request.
func (c *arrivalCounter) retries() (retries int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, arrivals := range c.arrivals {
		retries += max(arrivals-1, 0)
	}
	return retries
}

// failureStep is the step of a request at which a replica resets its connection.
type failureStep int

const (
	failNever failureStep = iota
	failAtRequest
	failAfterHead
	failAfterFirstEvent
	failByRejection
	failureSteps
)

// unreliable is a replica that fails a share of its requests, each at a step drawn by chance.
func (c *arrivalCounter) unreliable(stage string, share float64, random func() float64) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodDelete {
			// A handle that is freed is no arrival of a request.
			return
		}
		step := failNever
		if random() < share {
			step = 1 + failureStep(random()*float64(failureSteps-1))
		}
		prompt := request.Header.Get("Read-Only") == "true"
		c.count(request.Header.Get("Request"), prompt && (step == failNever || step == failAfterHead || step == failAfterFirstEvent))
		switch {
		case step == failAtRequest:
			resetConnection(writer)
		case step == failByRejection:
			rejectRequest(writer, request)
		case prompt && step != failNever:
			cutAfterHead(writer, request)
		case prompt:
			_, _ = io.WriteString(writer, "handle")
		case step == failAfterHead:
			writer.Header().Set("Sealed", "yes")
			cutAfterHead(writer, request)
		default:
			streamEvents(1, 2, step == failAfterFirstEvent)(writer, request)
		}
	}
}

func resetConnection(writer http.ResponseWriter) {
	connection, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// Guards against arrivals at replicas that the retry budget was not charged for: replicas that reset, reject or break off a
// share of their requests, at any step.
func TestArrivalsStayWithinTheRetryBudgetWhereverReplicasFail(t *testing.T) {
	const requests, parallel = 400, 16
	options := relay.RetryBudgetOptions{Ratio: 0.2, Window: time.Minute, Slack: 10}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var mutex sync.Mutex
			source := rand.New(rand.NewPCG(seed, 1))
			random := func() float64 {
				mutex.Lock()
				defer mutex.Unlock()
				return source.Float64()
			}
			share := 0.2 + 0.8*random()
			t.Logf("%.2f of the requests fail", share)
			w := newTestEnvironmentWithBudget(t, options)
			counter := &arrivalCounter{arrivals: map[string]int{}, prompts: map[string]bool{}}
			for number := range 3 {
				for _, stage := range []string{region.StagePrefill, region.StageDecode} {
					id := fmt.Sprint(stage, number)
					w.list(region.Replica{
						ID: id, Service: "service", Address: w.startReplica(id, counter.unreliable(stage, share, random)), Zone: "zone", Slots: 64, Stage: stage,
					})
				}
			}
			var callers sync.WaitGroup
			for caller := range parallel {
				callers.Go(func() {
					for number := range requests / parallel {
						id := fmt.Sprint(caller, "-", number)
						call := newModelCall(8000, id)
						call.ID = id
						call.Header = append(call.Header, upstream.Field{Name: "Request", Value: id})
						call.Route = &traffic.Route{Name: "route", Kind: traffic.KindStream, MaximumAttempts: 3, Resumable: true}
						w.runCall(call)
					}
				})
			}
			callers.Wait()
			assert.LessOrEqual(t, float64(counter.retries()), options.Ratio*requests+options.Slack)
		})
	}
}
