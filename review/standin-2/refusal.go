package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	refusalRequests = 200
	// refusalShare of the requests fail at their replicas.
	refusalShare = 0.45
	refusalHost  = "floor.example"
	refusalText  = "Request timeout"
)

// floorReplica is a replica of an application that prints labels, whose printer may not answer in time.
type floorReplica struct {
	id      string
	written *record
	trouble bool
	mutex   sync.Mutex
	ran     map[string]int
}

func (f *floorReplica) serve(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Pierhaven-Instance-Id", f.id)
	id := request.Header.Get("Pierhaven-Request-Id")
	if id == "" {
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.Header().Set("Pierhaven-Request-Id", id)
	if request.Header.Get("Pierhaven-Expect-Instance") != f.id {
		writer.Header().Set("Pierhaven-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	f.mutex.Lock()
	f.ran[id]++
	number := len(f.ran)
	f.mutex.Unlock()
	time.Sleep(15 * time.Millisecond)
	writer.Header().Set("Pierhaven-Response-Seal", "seal-"+id)
	writer.Header().Set("Content-Type", "text/plain")
	if f.trouble && float64(number%100) < 100*refusalShare {
		f.written.write("replica %s ran %s and answers 424 with its seal and the body %q", f.id, id, refusalText)
		writer.WriteHeader(http.StatusFailedDependency)
		_, _ = io.WriteString(writer, refusalText)
		return
	}
	f.written.write("replica %s ran %s and answers 200", f.id, id)
	_, _ = io.WriteString(writer, "printed")
}

// startReplica serves a handler as a replica, and returns its address.
func startReplica(address string, handler http.HandlerFunc) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addFloorReplicas adds the replicas of the application.
func (r *region) addFloorReplicas() ([]*floorReplica, error) {
	var replicas []*floorReplica
	for number := range 3 {
		replica := &floorReplica{id: fmt.Sprintf("i-floor-%d", number+1), written: r.record, ran: map[string]int{}}
		address, err := startReplica("127.0.0.1:0", replica.serve)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, replica)
		r.list.add(instance{Service: "vloerapp", Address: address, Zone: r.zones[number], Version: "v1", Slots: 6, State: "ready", ID: replica.id})
	}
	return replicas, nil
}

// floorConfiguration is a configuration of the application's route.
func floorConfiguration(version int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"belt-assign","Host":%q,"PathPrefix":"/belt/","RouteType":"non_idempotent",`+
		`"TimeoutMs":1000,"TargetLatencyMs":100,"Priority":0,"Service":"vloerapp","MaxAttempts":1}],`+
		`"Services":[{"Name":"vloerapp","HealthCheck":"/healthz","MaxConnections":100,"Protocol":"h1","Tls":false}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, refusalHost)
}

// runRefusalText has replicas fail a part of their requests, after they ran them, with an answer of their own.
func runRefusalText(written *record, trouble bool) (bool, error) {
	created, err := newRegion(written, 2)
	if err != nil {
		return false, err
	}
	running = created
	replicas, err := created.addFloorReplicas()
	if err != nil {
		return false, err
	}
	for _, each := range replicas {
		each.trouble = trouble
	}
	if err := created.startAll(); err != nil {
		return false, err
	}
	configuration := floorConfiguration(1)
	if err := created.replaceUntilTaken(configuration, 20*time.Second); err != nil {
		return false, err
	}
	if err := created.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	broken, served := 0, 0
	for number := range refusalRequests {
		id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(number))
		status, seal, body, err := send(created.gateways[number%len(created.gateways)], id)
		written.write("client sent %s and got %d, seal %q, body %q, error %v", id, status, seal, body, err)
		runs := 0
		for _, each := range replicas {
			each.mutex.Lock()
			runs += each.ran[id]
			each.mutex.Unlock()
		}
		switch {
		case err == nil && status == http.StatusOK:
			served++
		case runs > 0 && isPromise(status):
			broken++
			written.write("REFUSED: %s ran %d times, and its client was told %d: not run, and never will be", id, runs, status)
		}
	}
	written.write("%d of %d requests were served, %d were refused although they had run", served, refusalRequests, broken)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return broken == 0, nil
}

// isPromise reports whether a status promises that a request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func send(gateway *process, id string) (status int, seal, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+gateway.front()+"/belt/assign", http.NoBody)
	if err != nil {
		return 0, "", "", err
	}
	request.Host = refusalHost
	request.Header.Set("Pierhaven-Request-Id", id)
	request.Header.Set("Pierhaven-Deadline-Ms", "1000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header.Get("Pierhaven-Response-Seal"), string(content), err
}
