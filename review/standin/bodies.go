package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// largestBody is MaxBodyBytes of the configuration.
	largestBody = 4_194_304
	smallBody   = 600
	// uploads come to each gateway one uploadInterval after the other, for 8 s; a client sends its body within uploadTime.
	// That is 22 a second, and 738 of the 1,000 Mbit/s of a link.
	uploads        = 176
	uploadInterval = time.Second / 22
	uploadTime     = 5 * time.Second
	uploadPieces   = 64
	uploadDeadline = 6 * time.Second
	// keptClients keep one connection each to a gateway, and use it all the time: less than 15 requests a second.
	keptClients = 6
	keptWork    = 400 * time.Millisecond
	// mostLost is the number of requests that a machine may lose by the rule.
	mostLost = 3
	// watchInterval is how often the platform looks at the memory of a process.
	watchInterval = 5 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
)

// bodiesConfiguration has a route for uploads and one for the kept connections, each with a service of its own.
func bodiesConfiguration() []byte {
	made := decodeConfiguration(configurationOf(30, 100))
	for index := range made.Routes {
		made.Routes[index].TimeoutMs, made.Routes[index].TargetLatencyMs = 6000, 600
	}
	return encodeConfiguration(made)
}

// ownMegabytes returns the memory of a process that is its own, in units of 2^20 bytes: pages of files are left out.
func ownMegabytes(number int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", number))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that goes over its memory, and starts it again.
func (r *region) watchMemory(p *process, stop <-chan struct{}) (kills, highest int) {
	for {
		select {
		case <-stop:
			return kills, highest
		case <-time.After(watchInterval):
		}
		held := ownMegabytes(p.command.Process.Pid)
		highest = max(highest, held)
		if held <= machineMemory {
			continue
		}
		kills++
		r.record.note("%s has %d MB, more than its %d MB: the platform kills it", p.name, held, machineMemory)
		r.kill(p)
		time.Sleep(restartDelay)
		if err := r.startAgain(p); err != nil {
			r.record.note("%s does not start again: %v", p.name, err)
			return kills, highest
		}
	}
}

// lostRequests counts the requests of kept connections.
type lostRequests struct {
	mutex    sync.Mutex
	answered int
	lost     [fronts]int
}

// keepCalling sends requests one after the other on a kept connection until a time.
func (r *region) keepCalling(front, client int, until time.Time, counts *lostRequests) {
	var connection net.Conn
	var reader *bufio.Reader
	for number := 0; time.Now().Before(until); number++ {
		if connection == nil {
			opened, err := net.DialTimeout("tcp", r.address(firstFront+front, frontPort), time.Second)
			if err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			connection, reader = opened, bufio.NewReader(opened)
		}
		id := fmt.Sprintf("kept-%d-%d-%d", front+1, client, number)
		status, err := r.exchange(connection, reader, id, "/split0/x", bytes.Repeat([]byte("k"), smallBody), uploadDeadline, 1)
		r.record.note("%s to front-%d: %d %v", id, front+1, status, err)
		counts.note(front, err == nil, len(r.record.runsOf(id)) > 0)
		if err != nil {
			_ = connection.Close()
			connection = nil
		}
	}
	if connection != nil {
		_ = connection.Close()
	}
}

func (l *lostRequests) note(front int, answered, run bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case answered:
		l.answered++
	case run:
		l.lost[front]++
	}
}

// exchange sends a request, its body in pieces over uploadTime if there are several, and reads the answer.
func (r *region) exchange(connection net.Conn, reader *bufio.Reader, id, path string, body []byte, deadline time.Duration, pieces int) (int, error) {
	_ = connection.SetDeadline(time.Now().Add(deadline))
	if _, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nPierhaven-Request-Id: %s\r\nPierhaven-Deadline-Ms: %d\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n",
		path, host, id, deadline.Milliseconds(), len(body)); err != nil {
		return 0, err
	}
	for piece := range pieces {
		if piece > 0 {
			time.Sleep(uploadTime / uploadPieces)
		}
		if _, err := connection.Write(body[len(body)*piece/pieces : len(body)*(piece+1)/pieces]); err != nil {
			return 0, err
		}
	}
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// upload sends one request with a body on a new connection.
func (r *region) upload(front, number int, body []byte) {
	id := fmt.Sprintf("upload-%d-%d", front+1, number)
	connection, err := net.DialTimeout("tcp", r.address(firstFront+front, frontPort), time.Second)
	status := 0
	if err == nil {
		status, err = r.exchange(connection, bufio.NewReader(connection), id, movedPath+"x", body, uploadDeadline, uploadPieces)
		_ = connection.Close()
	}
	r.record.note("%s of %d bytes to front-%d: %d %v", id, len(body), front+1, status, err)
}

// bodies shows what gateways do when some requests with the largest bodies that the configuration allows come at once.
func bodies(record *record, trouble bool) (bool, error) {
	size := largestBody
	if !trouble {
		size = smallBody
	}
	r, err := newRegion(record)
	if err != nil {
		return false, err
	}
	defer r.close()
	if err := r.startAll(keptWork); err != nil {
		return false, err
	}
	if _, err := r.replaceConfiguration(30, bodiesConfiguration(), 20*time.Second); err != nil {
		return false, err
	}
	if err := r.awaitReady(fronts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var watches, clients sync.WaitGroup
	for front := range fronts {
		watches.Go(func() {
			name := "front-" + strconv.Itoa(front+1)
			kills, highest := r.watchMemory(r.processes[name], stop)
			record.note("%s: at most %d MB, killed %d times", name, highest, kills)
		})
	}
	counts := &lostRequests{}
	until := time.Now().Add(15 * time.Second)
	body := bytes.Repeat([]byte("b"), size)
	for front := range fronts {
		for client := range keptClients {
			clients.Go(func() { r.keepCalling(front, client, until, counts) })
		}
		for number := range uploads {
			clients.Go(func() {
				time.Sleep(5*time.Second + time.Duration(number)*uploadInterval)
				r.upload(front, number, body)
			})
		}
	}
	clients.Wait()
	close(stop)
	watches.Wait()
	record.note("kept connections: %d requests answered; passed on to a sound replica and their connection closed without an answer, at each gateway: %d",
		counts.answered, counts.lost)
	return slices.Max(counts.lost[:]) > mostLost, nil
}
