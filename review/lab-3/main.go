// Command lab-3 plays the cases of the third review: it starts nodes as separate processes with the
// command of the deploy file, and stands in for the platform's store, the endpoints and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 100 * time.Second

// caseFunc plays a case and returns whether the rule held. An error means that it could not run.
type caseFunc func(w *world, trouble bool) (held bool, err error)

var cases = map[string]caseFunc{
	"gone":    playGone,
	"heads":   playHeads,
	"restore": playRestore,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play caseFunc, record string, trouble bool) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() {
		held, err := play(w, trouble)
		switch {
		case err != nil:
			w.note("the case could not run: %v", err)
			done <- exitNotRun
		case held:
			w.note("the rule held")
			done <- exitHeld
		default:
			w.note("the rule is BROKEN")
			done <- exitBroken
		}
	}()
	select {
	case code := <-done:
		return code
	case <-signals:
		w.note("the case was ended by a signal")
	case <-time.After(maxRunTime):
		w.note("the case could not run: %v", errors.New("it did not end in time"))
	}
	return exitNotRun
}
