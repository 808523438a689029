package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

func TestBadRequestsAreRefusedByName(t *testing.T) {
	zone := startZone(t)
	engine := startEngine(t, "e1")
	zone.addEngine(engine)
	gateway := startGateway(t, zone, func(s *Settings) { s.Limits.MaximumBodyBytes = 64 << 10 })
	big := bytes.Repeat([]byte("a"), 100<<10)
	cases := []struct {
		name    string
		path    string
		body    any
		headers []string
		kind    failure.Kind
		status  int
	}{
		{"not JSON", callerapi.PathChatCompletions, []byte("{"), nil, failure.MalformedRequest, 400},
		{"not UTF-8", callerapi.PathCompletions, []byte("{\"model\":\"reader\",\"prompt\":\"\xff\"}"), nil, failure.MalformedRequest, 400},
		{"wrong type", callerapi.PathCompletions, []byte(`{"model":7}`), nil, failure.MalformedRequest, 400},
		{"no messages", callerapi.PathChatCompletions, []byte(`{"model":"reader"}`), nil, failure.MalformedRequest, 400},
		{"no prompt", callerapi.PathCompletions, []byte(`{"model":"reader"}`), nil, failure.MalformedRequest, 400},
		{"odd role", callerapi.PathChatCompletions, []byte(`{"model":"reader","messages":[{"role":"god"}]}`), nil, failure.MalformedRequest, 400},
		{"negative tokens", callerapi.PathCompletions, []byte(`{"model":"reader","prompt":"x","max_tokens":-1}`), nil, failure.MalformedRequest, 400},
		{"too many tokens", callerapi.PathCompletions, []byte(`{"model":"reader","prompt":"x","max_tokens":9999}`), nil, failure.MalformedRequest, 400},
		{"unknown model", callerapi.PathCompletions, []byte(`{"model":"other","prompt":"x"}`), nil, failure.UnknownModel, 404},
		{"long prompt", callerapi.PathCompletions, callerapi.CompletionRequest{Model: testModel, Prompt: strings.Repeat("a ", 10001)}, nil, failure.MalformedRequest, 400},
		{"body too large", callerapi.PathCompletions, big, nil, failure.BodyTooLarge, 413},
		{"wrong key", callerapi.PathCompletions, []byte(`{}`), []string{"Authorization", "Bearer no"}, failure.Unauthenticated, 401},
		{"no key", callerapi.PathCompletions, []byte(`{}`), []string{"Authorization", "Basic x"}, failure.Unauthenticated, 401},
		{"bad deadline", callerapi.PathCompletions, []byte(`{}`), []string{callerapi.HeaderDeadline, "soon"}, failure.MalformedRequest, 400},
		{"bad priority", callerapi.PathCompletions, []byte(`{}`), []string{callerapi.HeaderPriority, "high"}, failure.MalformedRequest, 400},
		{"unknown path", "/v1/nothing", []byte(`{}`), nil, failure.NotFound, 404},
		{"wrong method", "/health/live", []byte(`{}`), nil, failure.MethodNotAllowed, 405},
		{"too many keys", callerapi.PathIdempotencyKeys, []byte(`{"count":100000}`), nil, failure.MalformedRequest, 400},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			response := gateway.post(each.path, each.body, each.headers...)
			require.Equal(t, each.status, response.StatusCode)
			require.NotEmpty(t, response.Header.Get(callerapi.HeaderRequestID))
			detail := readFailure(t, response)
			require.Equal(t, each.kind, detail.Type, detail.Message)
			require.Equal(t, failure.RanNo, detail.Ran)
			require.Equal(t, response.Header.Get(callerapi.HeaderRequestID), detail.RequestID)
		})
	}
	require.Zero(t, engine.started)
}

// rawRefusal sends bytes on a connection of its own and reads the refusal.
func rawRefusal(t *testing.T, address string, send func(net.Conn)) failure.Detail {
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer connection.Close()
	send(connection)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(eventually)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	return readFailure(t, response)
}

func TestFloodsAndSlowCallersAreRefusedByName(t *testing.T) {
	gateway := startGateway(t, startZone(t), func(s *Settings) {
		s.Times.ReadTimeout = 200 * time.Millisecond
		s.Limits.MaximumHeaderBytes = 8 << 10
	})
	start := "POST " + callerapi.PathCompletions + " HTTP/1.1\r\nHost: x\r\n"
	cases := []struct {
		name string
		send func(net.Conn)
		kind failure.Kind
	}{
		{"header flood", func(c net.Conn) {
			_, _ = io.WriteString(c, start)
			for index := range 1000 {
				if _, err := fmt.Fprintf(c, "X-Flood-%d: %s\r\n", index, strings.Repeat("x", 100)); err != nil {
					return
				}
			}
		}, failure.HeadersTooLarge},
		{"slow headers", func(c net.Conn) { _, _ = io.WriteString(c, start) }, failure.RequestTooSlow},
		{"slow body", func(c net.Conn) { _, _ = io.WriteString(c, start+"Content-Length: 100\r\n\r\nabc") }, failure.RequestTooSlow},
		{"no HTTP", func(c net.Conn) { _, _ = io.WriteString(c, "hello\r\n\r\n") }, failure.MalformedRequest},
		{"huge body announced", func(c net.Conn) { _, _ = io.WriteString(c, start+"Content-Length: 99999999\r\n\r\n") }, failure.BodyTooLarge},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			detail := rawRefusal(t, gateway.Address(), each.send)
			require.Equal(t, each.kind, detail.Type)
			require.Equal(t, failure.RanNo, detail.Ran)
			require.NotEmpty(t, detail.RequestID)
		})
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	gateway := startGateway(t, startZone(t), func(s *Settings) { s.Limits.MaximumConnections = 8 })
	var held []net.Conn
	for range 30 {
		connection, err := net.Dial("tcp", gateway.Address())
		require.NoError(t, err)
		defer connection.Close()
		held = append(held, connection)
	}
	// Those that were there first, and have sent nothing, give their places up.
	require.Eventually(t, func() bool {
		ended := gateway.callers.listener.Endings()
		return ended["no_place"]+ended["turned_away"] >= 22
	}, eventually, poll)
	require.LessOrEqual(t, gateway.callers.listener.Open(), 8)
	for _, connection := range held {
		connection.Close()
	}
	require.Eventually(t, func() bool { return gateway.callers.listener.Open() < 8 }, eventually, poll)
}

// heapInUse is the live heap after a collection, in bytes.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func TestBadInputDoesNotGrowMemory(t *testing.T) {
	zone := startZone(t)
	zone.addEngine(startEngine(t, "e1"))
	gateway := startGateway(t, zone, nil)
	bodies := []any{[]byte("{"), []byte(`{"model":"other","prompt":"x"}`), bytes.Repeat([]byte("x"), 200<<10), chat(false, 2)}
	round := func(count int) {
		for index := range count {
			response := gateway.post(callerapi.PathChatCompletions, bodies[index%len(bodies)], callerapi.HeaderRequestID, fmt.Sprint(index))
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
	round(400)
	before := heapInUse()
	round(2000)
	after := heapInUse()
	t.Logf("live heap before %d, after 2000 more requests %d", before, after)
	require.Less(t, after, before+4<<20)
}

func TestTheModelsAreListed(t *testing.T) {
	gateway := startGateway(t, startZone(t), nil)
	request, err := http.NewRequest(http.MethodGet, "http://"+gateway.Address()+callerapi.PathModels, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var list callerapi.ModelList
	require.NoError(t, json.NewDecoder(response.Body).Decode(&list))
	require.Equal(t, testModel, list.Data[0].ID)
}
