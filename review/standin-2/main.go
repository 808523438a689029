// Command standin-2 runs a small region of the project's own processes, with stand-ins of the platform, the
// replicas, the clients and the operator, and checks one rule. Its exit status is 1 if the rule was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by their names. Each returns whether the rule held.
var cases = map[string]func(written *record, trouble bool) (held bool, err error){
	"refusal-text": runRefusalText,
	"garbage":      runGarbage,
}

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitCannotRun
	}
	written, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer written.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		held bool
		err  error
	}
	results := make(chan result, 1)
	go func() {
		held, err := cases[os.Args[1]](written, os.Getenv("TROUBLE") != "0")
		results <- result{held, err}
	}()
	select {
	case <-stopped:
		endRegion()
		return exitCannotRun
	case got := <-results:
		endRegion()
		switch {
		case got.err != nil:
			written.write("the case could not run: %v", got.err)
			fmt.Fprintln(os.Stderr, got.err)
			return exitCannotRun
		case got.held:
			written.write("the rule held")
			return exitHeld
		default:
			written.write("the rule was broken")
			return exitBroken
		}
	}
}

// running is the region of the case, whose processes are ended whatever becomes of the case.
var running *region

func endRegion() {
	if running != nil {
		running.end()
	}
}
