// Command lab plays the scripted cases of the review. It starts the nodes as the deploy file says, on
// loopback addresses, with stand-ins for the store, endpoints and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a play.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// play is one case. trouble is false if the disruption is left out.
type play func(f *fleet, trouble bool) (code int, err error)

// scenario is a case with the services of the machines that it plays on.
type scenario struct {
	services []string
	play     play
}

// cases holds the cases by name. Each adds itself.
var cases = map[string]scenario{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return cannotRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return cannotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	f, err := newFleet(rec, c.services)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.close()
		os.Exit(cannotRun)
	}()
	code, err := c.play(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("could not run: %v", err)
		return cannotRun
	}
	return code
}
