package relay_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/testnet"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// deadReplicas is the number of replicas of a lost rack: their ports refuse connections.
const deadReplicas = 8

// Most replicas of a service are lost at once. The call has not run anywhere, and is sent on until it
// meets a live replica.
func TestUnreachableReplicasCostNoAttempt(t *testing.T) {
	for range 6 {
		w := newTestEnvironmentWithBudget(t, relay.RetryBudgetOptions{})
		w.addReplica("alive", "", respondSealed(http.StatusOK, "answer"))
		for number := range deadReplicas {
			w.listReplica(fmt.Sprint("dead-", number), "", testnet.Address(t))
		}
		answer := w.runCall(newCall(traffic.KindOnce, 1))
		assert.Equal(t, "answer", answer.body.String())
		assert.NoError(t, answer.err)
	}
}

// Guards against a prompt being prefilled by the decode replica, at half the pace, only because the prefill
// replica chosen first is lost.
func TestPrefillIsSeparateDespiteUnreachablePrefillReplicas(t *testing.T) {
	for range 6 {
		w := newTestEnvironmentWithBudget(t, relay.RetryBudgetOptions{})
		w.addReplica("reader", region.StagePrefill, func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(writer, "handle") })
		w.addReplica("generator", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
			assert.NotEmpty(t, request.Header.Get("Source"), "the prompt was prefilled separately")
			streamEvents(1, 2, false)(writer, request)
		})
		for number := range deadReplicas {
			w.listReplica(fmt.Sprint("dead-", number), region.StagePrefill, testnet.Address(t))
		}
		call := newCall(traffic.KindStream, 1)
		call.Service.Engine = &traffic.Engine{}
		call.Prompt = &relay.Prompt{Tokens: 9000, Parts: []relay.PromptPart{{ID: "shared", Tokens: 8000}, {ID: "own", Tokens: 1000}}}
		answer := w.runCall(call)
		assert.Equal(t, eventText(1, 2), answer.body.String())
		assert.Equal(t, 1, w.requestCount("reader"))
	}
}
