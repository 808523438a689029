package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// record is what was sent, answered and run, as record.txt shows it.
type record struct {
	mutex sync.Mutex
	begun time.Time
	file  *os.File
	// runs are the runs of requests by their ids, in order.
	runs map[string][]run
}

// run is one run of a request at a replica.
type run struct {
	service, instance string
	at                time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: file, runs: map[string][]run{}}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// noteRun notes that a replica begins to run a request.
func (r *record) noteRun(id, service, instance string) {
	r.mutex.Lock()
	r.runs[id] = append(r.runs[id], run{service: service, instance: instance, at: time.Now()})
	r.mutex.Unlock()
	r.note("%s is run by %s (%s)", id, instance, service)
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]run(nil), r.runs[id]...)
}

// instance is an entry of the platform's list.
type instance struct {
	ID              string `json:"Id"`
	Service         string
	Address         string
	Zone            string
	Version         string
	Slots           int
	State           string
	ColdRemainingMs int
}

// instanceList serves the platform's list of replicas.
type instanceList struct {
	mutex   sync.Mutex
	entries []instance
}

func (l *instanceList) add(added instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries = append(l.entries, added)
}

// ServeHTTP implements http.Handler.
func (l *instanceList) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/instances" {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	l.mutex.Lock()
	entries := append([]instance{}, l.entries...)
	l.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"Instances": entries, "NextPageToken": nil})
}

// replica serves one incarnation of a plain service.
type replica struct {
	instance
	record *record
	slots  chan struct{}
	work   time.Duration
}

// addReplica starts a replica and lists it.
func (r *region) addReplica(number int, service string, work time.Duration) error {
	added := &replica{
		instance: instance{
			ID: fmt.Sprintf("i-%s-%d", service, number), Service: service, Address: r.address(firstReplica+number, replicaPort),
			Zone: zones[number%len(zones)], Version: "v1", Slots: 6, State: "ready",
		},
		record: r.record, slots: make(chan struct{}, 6), work: work,
	}
	if err := r.serve(added.Address, added); err != nil {
		return err
	}
	r.list.add(added.instance)
	return nil
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Pierhaven-Request-Id")
	writer.Header().Set("Pierhaven-Request-Id", id)
	if request.URL.Path == "/healthz" {
		writer.Header().Set("Pierhaven-Instance-Id", r.ID)
		return
	}
	if wanted := request.Header.Get("Pierhaven-Expect-Instance"); wanted != "" && wanted != r.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		writer.Header().Set("Pierhaven-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	size, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-request.Context().Done():
		return
	}
	r.record.noteRun(id, r.Service, r.ID)
	time.Sleep(r.work)
	answer := "answer to " + id + " of " + strconv.FormatInt(size, 10) + " bytes\n"
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, r.ID+answer)
	writer.Header().Set("Pierhaven-Response-Seal", strconv.FormatUint(sum.Sum64(), 16))
	_, _ = io.WriteString(writer, answer)
}

// outcome is what a client got for an attempt.
type outcome struct {
	sent   time.Time
	status int
	sealed bool
	err    error
}

// call makes one client attempt on a new connection.
func (r *region) call(front int, id, host, path string, deadline time.Duration) outcome {
	result := outcome{sent: time.Now()}
	defer func() {
		r.record.note("%s to front-%d %s sent %.3f s ago: %d sealed %t %v", id, front+1, path, time.Since(result.sent).Seconds(), result.status, result.sealed, result.err)
	}()
	dialer := net.Dialer{Timeout: time.Second}
	connection, err := dialer.DialContext(context.Background(), "tcp", r.address(firstFront+front, frontPort))
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(deadline))
	if _, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nPierhaven-Request-Id: %s\r\nPierhaven-Deadline-Ms: %d\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody",
		path, host, id, deadline.Milliseconds()); err != nil {
		result.err = err
		return result
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		result.err = err
		return result
	}
	_, result.err = io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	result.status, result.sealed = answer.StatusCode, answer.Header.Get("Pierhaven-Response-Seal") != ""
	return result
}
