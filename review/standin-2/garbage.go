package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

// The site is apwyntiad-pierhaven at a third of its size: 3 of 9 gateways, 6 of 18 model replicas, a third of the traffic.
const (
	garbageHost     = "booking.example"
	garbageGateways = 3
	garbageEngines  = 6
	garbagePrefill  = 2
	// garbledEngines of the replicas spoil one in spoilEvery of their answers: share 0.5 and x 0.02.
	garbledEngines = garbageEngines / 2
	spoilEvery     = 50
	// An episode is as long as the site's; the next one begins episodeGap after it.
	episodes      = 5
	episodeLength = 5500 * time.Millisecond
	episodeGap    = 3500 * time.Millisecond
	// linkBytesPerSecond is the speed of a gateway's link, which no spoiled answers together go beyond.
	linkBytesPerSecond = linkMegabits * 1e6 / 8
	// restartDelay is after how long the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// endsPerMachine and endedMachines are the figures of the rule.
	endsPerMachine = 3
	endedMachines  = 2
)

// headerTo is a field of the clients, which gateways pass along: it tells the replicas whose link an answer takes.
const headerTo = "Sent-To"

// streamClass is a kind of request of the site's sheet.
type streamClass struct {
	name     string
	path     string
	perS     float64
	deadline time.Duration
	aim      time.Duration
	pause    time.Duration
	tokens   string
	attempts int
}

var streamClasses = []streamClass{
	{"referral-slot", "/referral/", 20.1 / 3, 6 * time.Second, 600 * time.Millisecond, 150 * time.Millisecond, "17020,17", 1},
	{"message-triage", "/triage/", 129. / 3, 3 * time.Second, 300 * time.Millisecond, 150 * time.Millisecond, "383,6", 2},
}

// patience is how long a client waits in silence: PROTOCOL.md, Requests.
func (c *streamClass) patience() time.Duration {
	return max(2*time.Second, 4*c.aim, 8*c.pause)
}

// garble spoils answers of some engines while it is on.
type garble struct {
	written *record
	on      atomic.Bool
	answers atomic.Int64
	spoiled atomic.Int64
	mutex   sync.Mutex
	// freeAt is when the link of each gateway has carried what was sent so far.
	freeAt map[string]time.Time
}

// wrap returns a handler that sends bytes that are no answer in the place of some answers, until its caller closes the
// connection.
func (g *garble) wrap(id string, inner http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		runs := request.Header.Get("Pierhaven-Model") != "" && request.Header.Get("Pierhaven-Serving-Stage") == ""
		if !runs || !g.on.Load() || g.answers.Add(1)%spoilEvery != 0 {
			inner.ServeHTTP(writer, request)
			return
		}
		hijacker, ok := writer.(http.Hijacker)
		if !ok {
			return
		}
		connection, _, err := hijacker.Hijack()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		g.spoiled.Add(1)
		begun, sent := time.Now(), g.spoil(connection, request.Header.Get(headerTo))
		g.written.write("replica %s spoiled its answer to %s: %d bytes that are no answer, in %d ms, until the connection was closed",
			id, request.Header.Get("Pierhaven-Request-Id"), sent, time.Since(begun).Milliseconds())
	})
}

func (g *garble) spoil(connection net.Conn, gateway string) (sent int) {
	piece := bytes.Repeat([]byte{0xa5}, 256<<10)
	for {
		count, err := connection.Write(piece)
		sent += count
		if err != nil {
			return sent
		}
		time.Sleep(time.Until(g.carry(gateway, count)))
	}
}

// carry returns when a gateway's link has carried some more bytes.
func (g *garble) carry(gateway string, count int) time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	from := g.freeAt[gateway]
	if now := time.Now(); from.Before(now) {
		from = now
	}
	g.freeAt[gateway] = from.Add(time.Duration(float64(count) / linkBytesPerSecond * float64(time.Second)))
	return g.freeAt[gateway]
}

// watchMemory is what the platform does: a process that goes over its memory is killed, and started again.
func (r *region) watchMemory(ctx context.Context, gateway *process, ends *atomic.Int64) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		held := anonymousMegabytes(gateway)
		if held <= frontMemory {
			continue
		}
		ends.Add(1)
		r.record.write("%s holds %d MB, more than its %d: the platform kills it", gateway.name, held, frontMemory)
		gateway.kill()
		time.Sleep(restartDelay)
		if ctx.Err() != nil {
			return
		}
		if err := r.start(gateway); err != nil {
			r.record.write("%s can't be started: %v", gateway.name, err)
			return
		}
	}
}

// anonymousMegabytes is the memory of a process without its program's file.
func anonymousMegabytes(p *process) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, found := strings.Cut(string(status), "RssAnon:")
	if !found {
		return 0
	}
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	if err != nil {
		return 0
	}
	return kilobytes >> 10
}

// runGarbage has replicas spoil answers by bytes that are no answer.
func runGarbage(written *record, trouble bool) (bool, error) {
	created, err := newRegion(written, garbageGateways)
	if err != nil {
		return false, err
	}
	running = created
	spoiler := &garble{written: written, freeAt: map[string]time.Time{}}
	if err := created.addEngines(spoiler); err != nil {
		return false, err
	}
	if err := created.startAll(); err != nil {
		return false, err
	}
	if err := created.replaceUntilTaken(garbageConfiguration(), 20*time.Second); err != nil {
		return false, err
	}
	if err := created.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ends := make([]atomic.Int64, len(created.gateways))
	var watches, calls sync.WaitGroup
	for number, gateway := range created.gateways {
		watches.Go(func() { created.watchMemory(ctx, gateway, &ends[number]) })
	}
	tally := &streamTally{written: written}
	traffic, stopTraffic := context.WithCancel(ctx)
	for index := range streamClasses {
		calls.Go(func() { created.sendStreams(traffic, &streamClasses[index], tally) })
	}
	time.Sleep(3 * time.Second)
	for range episodes {
		spoiler.on.Store(trouble)
		time.Sleep(episodeLength)
		spoiler.on.Store(false)
		time.Sleep(episodeGap)
	}
	stopTraffic()
	calls.Wait()
	cancel()
	watches.Wait()
	machines := 0
	for number, gateway := range created.gateways {
		count := ends[number].Load()
		written.write("%s was killed %d times since its memory was over the limit", gateway.name, count)
		if count >= endsPerMachine {
			machines++
		}
	}
	written.write("%d requests sent, %d streams whole, %d cut off, %d without any answer, %d refused; %d answers were spoiled by replicas",
		tally.sent.Load(), tally.whole.Load(), tally.cut.Load(), tally.silent.Load(), tally.refused.Load(), spoiler.spoiled.Load())
	if tally.whole.Load() < tally.sent.Load()/4 {
		return false, errors.New("less than a quarter of the streams was served")
	}
	return machines < endedMachines, nil
}

// addEngines adds the model replicas, which are the project's own stand-ins.
func (r *region) addEngines(spoiler *garble) error {
	engines := platformtest.NewEngines(platformtest.EngineWatch{Runs: func(_, request string) platformtest.Reply {
		return platformtest.Reply{Status: http.StatusOK, Events: []string{"a " + request, "b " + request, "c " + request}, Pace: 20 * time.Millisecond}
	}})
	for number := range garbageEngines {
		id, stage := fmt.Sprintf("i-model-%d", number+1), platformtest.StageDecode
		if number < garbagePrefill {
			stage = platformtest.StagePrefill
		}
		handler := engines.Add(id, stage)
		if number >= garbageEngines-garbledEngines {
			handler = spoiler.wrap(id, handler)
		}
		address, err := startReplica("127.0.0.1:0", handler.ServeHTTP)
		if err != nil {
			return err
		}
		engines.Reach(id, address)
		r.list.addShown(func() instance {
			shown, _ := engines.Shows(id)
			return instance{Service: "llm-booking", Address: address, Zone: r.zones[number%len(r.zones)], Version: "v1", Slots: 32, State: "ready", ID: id, Stage: shown}
		})
	}
	return nil
}

func garbageConfiguration() []byte {
	var routes []map[string]any
	for _, class := range streamClasses {
		routes = append(routes, map[string]any{
			"Name": class.name, "Host": garbageHost, "PathPrefix": class.path, "RouteType": "streaming", "Service": "llm-booking",
			"TimeoutMs": class.deadline.Milliseconds(), "TargetLatencyMs": class.aim.Milliseconds(), "TargetGapMs": class.pause.Milliseconds(),
			"MaxAttempts": class.attempts, "SessionAffinity": true, "Resumable": class.attempts > 1,
		})
	}
	// Maps of texts, numbers and flags can always be encoded.
	document, _ := json.Marshal(map[string]any{
		"Version": 1, "Routes": routes,
		"Services": []map[string]any{{
			"Name": "llm-booking", "HealthCheck": "/healthz", "MaxConnections": 250, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{
				"Slots": 32, "KvCapacityTokens": 442678, "KvTokenBytes": 163840, "LinkMbps": 1400000.0, "KvBackups": true, "Stride": 7, "most": 12,
				"KvHoldS": 5.0, "StageSwitchS": 1.1, "PinMs": 4000.0, "HoldMs": 2000.0, "Models": []map[string]any{{"Name": "m"}},
			},
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return document
}

// streamTally counts how streams ended for their clients.
type streamTally struct {
	written                           *record
	sent, whole, cut, silent, refused atomic.Int64
}

// sendStreams sends the requests of a class at its rate, in turn to the gateways that are ready.
func (r *region) sendStreams(ctx context.Context, class *streamClass, tally *streamTally) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / class.perS))
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%s-%06d", class.name, number)
		gateway := r.gateways[number%len(r.gateways)]
		calls.Go(func() { r.readStream(class, gateway, id, tally) })
	}
}

func (r *region) readStream(class *streamClass, gateway *process, id string, tally *streamTally) {
	connection, err := net.DialTimeout("tcp", gateway.front(), time.Second)
	if err != nil {
		// The platform sends clients elsewhere while the process is down.
		return
	}
	defer func() { _ = connection.Close() }()
	tally.sent.Add(1)
	end := time.Now().Add(class.deadline)
	_, err = fmt.Fprintf(connection, "POST %sask HTTP/1.1\r\nHost: %s\r\nPierhaven-Request-Id: %s\r\nPierhaven-Model: m\r\nPierhaven-Token-Usage: %s\r\n"+
		"Pierhaven-Prefix-Hash: %s\r\nPierhaven-Deadline-Ms: %d\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		class.path, garbageHost, id, class.tokens, "5c1e07a2:92,"+partOf(id)+":291", class.deadline.Milliseconds(), headerTo, gateway.name)
	if err != nil {
		tally.silent.Add(1)
		return
	}
	reader := bufio.NewReader(&patient{connection, end, class.patience()})
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		tally.silent.Add(1)
		tally.written.write("client of %s got no answer from %s: %v", id, gateway.name, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	switch {
	case answer.StatusCode != http.StatusOK:
		tally.refused.Add(1)
	case err != nil:
		tally.cut.Add(1)
		tally.written.write("the stream of %s from %s was cut off: %v", id, gateway.name, err)
	default:
		tally.whole.Add(1)
	}
}

// partOf is the ID of the part of a prompt that belongs to one request.
func partOf(id string) string { return fmt.Sprintf("%x", id[len(id)-6:]) }

// patient reads from a connection as long as a client waits.
type patient struct {
	net.Conn
	end      time.Time
	patience time.Duration
}

// Read implements io.Reader.
func (p *patient) Read(buffer []byte) (int, error) {
	until := time.Now().Add(p.patience)
	if until.After(p.end) {
		until = p.end
	}
	_ = p.SetReadDeadline(until)
	return p.Conn.Read(buffer)
}
