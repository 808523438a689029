package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/testnet"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// endingWord in a prompt ends the engine that runs it.
const endingWord = "endsengines"

// mortalEngines are engines that a prompt ends, as a crash does; they start again after a while.
type mortalEngines struct {
	t     *testing.T
	ended atomic.Int64
}

func (m *mortalEngines) add(zone *fakeZone, id string) {
	address := testnet.Address(m.t)
	m.start(id, address)
	zone.addEngine(&fakeEngine{id: id, address: address, role: engineapi.RoleMixed, version: "1"})
}

func (m *mortalEngines) start(id, address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		m.t.Errorf("%s does not start again: %v", id, err)
		return
	}
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		var asked engineapi.GenerateRequest
		_ = json.Unmarshal(body, &asked)
		if strings.Contains(asked.Prompt, endingWord) {
			m.ended.Add(1)
			_ = server.Close()
			time.AfterFunc(300*time.Millisecond, func() { m.start(id, address) })
			return
		}
		if request.URL.Path == engineapi.PathPrefill {
			_ = json.NewEncoder(writer).Encode(engineapi.PrefillReply{
				AttemptID: asked.AttemptID, Model: asked.Model, Version: "1",
				KV: engineapi.KVSource{Address: address, Handle: "kv-" + asked.AttemptID, Tokens: 1},
			})
			return
		}
		m.answer(writer, asked)
	})
	go func() { _ = server.Serve(listener) }()
	m.t.Cleanup(func() { _ = server.Close() })
}

// answer streams the whole answer at once.
func (m *mortalEngines) answer(writer http.ResponseWriter, asked engineapi.GenerateRequest) {
	writer.Header().Set("Content-Type", "text/event-stream")
	tokens := expectedTokens(asked.Prompt, asked.MaxTokens)
	for _, each := range []engineapi.StreamEvent{
		{Kind: engineapi.EventAccepted, AttemptID: asked.AttemptID, Version: "1"},
		{Kind: engineapi.EventPiece, AttemptID: asked.AttemptID, Tokens: tokens},
		{Kind: engineapi.EventEnd, AttemptID: asked.AttemptID, TotalTokens: len(tokens), Finish: engineapi.FinishLength},
	} {
		data, _ := json.Marshal(each)
		_, _ = writer.Write([]byte("data: " + string(data) + "\n\n"))
	}
}

// poisonZone is the part of a zone group that holds requests.
type poisonZone struct {
	mutex    sync.Mutex
	state    poison.State
	position uint64
}

func (p *poisonZone) take(_ context.Context, report *poison.Report) (*poison.News, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.position++
	now := time.Now().UnixNano()
	command := &poison.Command{At: now, Completions: report.Completions}
	for _, end := range report.Crashes {
		command.Crashes = append(command.Crashes, poison.Crash{Replica: end.Replica + time.Now().String(), Requests: end.Requests})
	}
	p.state.Apply(p.position, command)
	p.position++
	p.state.Apply(p.position, &poison.Command{At: now, Hold: p.state.Due(now, 0)})
	return &poison.News{}, nil
}

func (p *poisonZone) news(request *wire.HeartbeatRequest) *poison.News {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state.NewsSince(request.PoisonRevision)
}

// A chat that ends each engine which begins to answer it is sent again and again by its caller;
// once three engines have ended, no further one may.
func TestAChatThatEndsEnginesIsHeldAtAllGatewaysOfAZone(t *testing.T) {
	zone := startZone(t)
	engines := &mortalEngines{t: t}
	for _, id := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
		engines.add(zone, id)
	}
	gateways := []*running{startGateway(t, zone, nil), startGateway(t, zone, func(s *Settings) { s.ID = "g2" })}
	ending := chat(false, 4)
	ending.Messages = []callerapi.Message{{Role: callerapi.RoleUser, Content: endingWord}}
	held := func(gateway *running) bool {
		response := gateway.post(callerapi.PathChatCompletions, ending)
		detail := readFailure(t, response)
		if detail.Type != failure.RequestHeld || detail.Ran != failure.RanNo {
			// A try that was under way when the others learned of it may have run.
			return false
		}
		assert.Equal(t, http.StatusBadGateway, response.StatusCode)
		assert.False(t, detail.Repeatable)
		assert.Empty(t, response.Header.Get("Retry-After"))
		return true
	}
	require.Eventually(t, func() bool { return held(gateways[0]) && held(gateways[1]) }, 2*eventually, 50*time.Millisecond)
	ended := engines.ended.Load()
	assert.GreaterOrEqual(t, ended, int64(3))
	for range 5 {
		assert.True(t, held(gateways[0]))
		assert.True(t, held(gateways[1]))
	}
	assert.Equal(t, ended, engines.ended.Load())
	last := ""
	require.Eventually(t, func() bool {
		response := gateways[0].post(callerapi.PathChatCompletions, chat(false, 4))
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		last = string(body)
		return response.StatusCode == http.StatusOK
	}, eventually, 50*time.Millisecond, "others are served, last answer: %s", lastAnswer{&last})
}

// lastAnswer shows the last answer in a failure's message.
type lastAnswer struct{ text *string }

func (l lastAnswer) String() string { return *l.text }
