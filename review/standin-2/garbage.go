package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// The site is apwyntiad-pierhaven at a third of its size: 3 of 9 gateways, half of 18 model replicas, a third of the traffic.
const (
	garbageHost     = "booking.example"
	garbageGateways = 3
	garbageEngines  = 9
	garbagePrefill  = 3
	// Three of the replicas spoil one in spoilEvery of their answers: share 0.33 and x 0.025.
	spoilEvery = 40
	// An episode is as long as the site's; the next one begins episodeGap after it.
	episodes      = 10
	episodeLength = 5500 * time.Millisecond
	episodeGap    = 3500 * time.Millisecond
	// linkBytesPerSecond is the speed of a gateway's link, which no spoiled answers together go beyond.
	linkBytesPerSecond = linkMegabits * 1e6 / 8
	// restartDelay is after how long the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// lostAllowed is the figure of the rule.
	lostAllowed = 3
	// firstEventTime is what a replica takes to begin a stream.
	firstEventTime = 60 * time.Millisecond
)

// spoils reports whether a replica is one of those that spoil answers.
func spoils(number int) bool { return number == 0 || number >= garbageEngines-2 }

// headerTo is a field of the clients, which gateways pass along: it tells the replicas whose link an answer takes.
const headerTo = "Sent-To"

// streamClass is a kind of request of the site's sheet.
type streamClass struct {
	name     string
	path     string
	deadline time.Duration
	aim      time.Duration
	pause    time.Duration
	tokens   string
	attempts int
	// promptTime is what a replica takes to read a prompt.
	promptTime time.Duration
	// clients is how many keep a connection to each gateway, and interval is how often each of them sends a request: nine
	// machines get 20.1 and 129 requests a second.
	clients  int
	interval time.Duration
}

var streamClasses = []streamClass{
	{"referral-slot", "/referral/", 6 * time.Second, 600 * time.Millisecond, 150 * time.Millisecond, "17020,17", 1, 100 * time.Millisecond, 1, 450 * time.Millisecond},
	{"message-triage", "/triage/", 3 * time.Second, 300 * time.Millisecond, 150 * time.Millisecond, "383,6", 2, 30 * time.Millisecond, 4, 280 * time.Millisecond},
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
		if request.Header.Get("Pierhaven-Model") == "" || !g.on.Load() || g.answers.Add(1)%spoilEvery != 0 {
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
	passed := &passedOn{requests: map[string]string{}}
	if err := created.addEngines(spoiler, passed); err != nil {
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
	tallies := make([]*streamTally, len(created.gateways))
	var watches, clients sync.WaitGroup
	traffic, stopTraffic := context.WithCancel(ctx)
	for number, gateway := range created.gateways {
		tally := &streamTally{written: written, passed: passed}
		tallies[number] = tally
		watches.Go(func() { created.watchMemory(ctx, gateway, &tally.ends) })
		for index := range streamClasses {
			for client := range streamClasses[index].clients {
				clients.Go(func() { sendStreams(traffic, &streamClasses[index], gateway, client, tally) })
			}
		}
	}
	time.Sleep(3 * time.Second)
	for range episodes {
		spoiler.on.Store(trouble)
		time.Sleep(episodeLength)
		spoiler.on.Store(false)
		time.Sleep(episodeGap)
	}
	stopTraffic()
	clients.Wait()
	cancel()
	watches.Wait()
	held, whole := true, int64(0)
	for number, gateway := range created.gateways {
		t := tallies[number]
		written.write("%s: killed %d times since its memory was over the limit; %d requests sent, %d streams whole, %d broken off, %d without any answer, %d refused or failed; "+
			"LOST: %d from kept connections, passed on to sound replicas, their connections closed without an answer",
			gateway.name, t.ends.Load(), t.sent.Load(), t.whole.Load(), t.cut.Load(), t.silent.Load(), t.refused.Load(), t.lost.Load())
		held = held && t.lost.Load() <= lostAllowed
		whole += t.whole.Load()
	}
	written.write("%d answers were spoiled by replicas", spoiler.spoiled.Load())
	if whole == 0 {
		return false, errors.New("no stream was served")
	}
	return held, nil
}

// passedOn knows which replica each request has reached last, empty if that one spoils answers.
type passedOn struct {
	mutex    sync.Mutex
	requests map[string]string
}

func (p *passedOn) note(request, engine string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.requests[request] = engine
}

// soundReplica returns the sound replica that a request has reached last, empty if there is none.
func (p *passedOn) soundReplica(request string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.requests[request]
}

// addEngines adds the model replicas, which are the project's own stand-ins.
func (r *region) addEngines(spoiler *garble, passed *passedOn) error {
	engines := platformtest.NewEngines(platformtest.EngineWatch{Runs: func(_, request string) platformtest.Reply {
		time.Sleep(firstEventTime)
		return platformtest.Reply{Status: http.StatusOK, Events: []string{"a " + request, "b " + request, "c " + request}, Pace: 20 * time.Millisecond}
	}})
	for number := range garbageEngines {
		id, stage, sound := fmt.Sprintf("i-model-%d", number+1), platformtest.StageDecode, fmt.Sprintf("i-model-%d", number+1)
		if number < garbagePrefill {
			stage = platformtest.StagePrefill
		}
		handler := readingTime(engines.Add(id, stage))
		if spoils(number) {
			handler, sound = spoiler.wrap(id, handler), ""
		}
		address, err := startReplica("127.0.0.1:0", func(writer http.ResponseWriter, request *http.Request) {
			if request.Header.Get("Pierhaven-Model") != "" {
				passed.note(request.Header.Get("Pierhaven-Request-Id"), sound)
			}
			handler.ServeHTTP(writer, request)
		})
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

// readingTime has prompts that are read apart take their time.
func readingTime(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Pierhaven-Serving-Stage") != "" {
			for index := range streamClasses {
				if strings.HasPrefix(request.URL.Path, streamClasses[index].path) {
					time.Sleep(streamClasses[index].promptTime)
				}
			}
		}
		inner.ServeHTTP(writer, request)
	})
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

// streamTally counts how the streams of one gateway ended for their clients.
type streamTally struct {
	written *record
	passed  *passedOn

	ends, sent, whole, cut, silent, refused, lost atomic.Int64
}

// sendStreams sends the requests of one client of a gateway, one after the other, on a connection that it keeps.
func sendStreams(ctx context.Context, class *streamClass, gateway *process, client int, tally *streamTally) {
	// The clients don't send together.
	time.Sleep(rand.N(class.interval))
	ticker := time.NewTicker(class.interval)
	defer ticker.Stop()
	var kept *keptConnection
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			if kept != nil {
				_ = kept.Close()
			}
			return
		case <-ticker.C:
		}
		if kept == nil {
			opened, err := net.DialTimeout("tcp", gateway.front(), time.Second)
			if err != nil {
				// The platform sends clients elsewhere while the process is down.
				continue
			}
			kept = &keptConnection{Conn: opened}
			kept.reader = bufio.NewReader(kept)
		}
		if !kept.ask(class, gateway, fmt.Sprintf("%s-%s-%d-%06d", class.name, gateway.name, client, number), tally) {
			_ = kept.Close()
			kept = nil
		}
	}
}

// keptConnection is a connection that a client keeps for many requests.
type keptConnection struct {
	net.Conn
	reader  *bufio.Reader
	answers int
	// end and patience bound how long the client waits for the answer under way; got is set once any of it has come.
	end      time.Time
	patience time.Duration
	got      bool
}

// Read implements io.Reader. The client waits in silence as long as its patience lasts.
func (k *keptConnection) Read(buffer []byte) (int, error) {
	until := time.Now().Add(k.patience)
	if until.After(k.end) {
		until = k.end
	}
	_ = k.SetReadDeadline(until)
	count, err := k.Conn.Read(buffer)
	k.got = k.got || count > 0
	return count, err
}

// ask sends a request and reads its answer, and reports whether the connection can be used again.
func (k *keptConnection) ask(class *streamClass, gateway *process, id string, tally *streamTally) bool {
	k.end, k.patience, k.got = time.Now().Add(class.deadline), class.patience(), false
	_, err := fmt.Fprintf(k, "POST %sask HTTP/1.1\r\nHost: %s\r\nPierhaven-Request-Id: %s\r\nPierhaven-Model: m\r\nPierhaven-Token-Usage: %s\r\n"+
		"Pierhaven-Prefix-Hash: 5c1e07a2:92,%x:291\r\nPierhaven-Deadline-Ms: %d\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		class.path, garbageHost, id, class.tokens, id, class.deadline.Milliseconds(), headerTo, gateway.name)
	if err != nil {
		return false
	}
	tally.sent.Add(1)
	answer, err := http.ReadResponse(k.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	var late net.Error
	outcome := ""
	switch {
	case err == nil && answer.StatusCode == http.StatusOK:
		tally.whole.Add(1)
		k.answers++
		tally.written.write("%s answered %s by a whole stream", gateway.name, id)
		return !answer.Close
	case err == nil:
		tally.refused.Add(1)
		tally.written.write("%s answered %s by %d", gateway.name, id, answer.StatusCode)
		return !answer.Close
	case k.got:
		tally.cut.Add(1)
		outcome = "has broken its stream off"
	case errors.As(err, &late) && late.Timeout():
		tally.silent.Add(1)
		outcome = "gave no answer for as long as the client waits"
	default:
		tally.silent.Add(1)
		outcome = "has closed the connection without an answer"
		if replica := tally.passed.soundReplica(id); k.answers > 0 && replica != "" {
			tally.lost.Add(1)
			outcome = "LOST: has closed the kept connection without an answer; the request had been passed on to " + replica + ", which is sound"
		}
	}
	tally.written.write("%s, %s: %s (%v; %d answers on this connection before)", gateway.name, id, outcome, err, k.answers)
	return false
}
