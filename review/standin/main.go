// Command standin plays the cases of the review that are scripts: it starts the project's own processes as the deploy file says,
// and stands in for the platform, the replicas, the operator and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(record *record, trouble bool) (broken bool, err error){
	"weights": weights,
	"bodies":  bodies,
	"members": members,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// started is the region that is closed if a signal ends the case.
var started struct {
	mutex  sync.Mutex
	region *region
}

// closeOnSignal ends all processes that the case has started if it is told to end.
func closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		started.mutex.Lock()
		defer started.mutex.Unlock()
		if started.region != nil {
			started.region.close()
		}
		os.Exit(exitNotRun)
	}()
}

func play(name, path string) int {
	closeOnSignal()
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[name](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.note("the rule was broken")
		return exitBroken
	}
	record.note("the rule held")
	return exitHeld
}
