// Command lab2 runs the scripts of the second review. Each case starts the project's daemon as separate
// processes with the command of the deploy file and plays the platform's store, the endpoints and the
// clients itself.
//
// usage: lab2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 in the environment the case plays without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTimeout bounds a whole run.
const caseTimeout = 110 * time.Second

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(caseTimeout):
		}
		w.logf("the case was interrupted or took too long")
		w.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](w)
	w.close()
	switch {
	case err != nil:
		w.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		w.logf("RESULT: the rule was broken")
		fmt.Println("broken")
		os.Exit(1)
	}
	w.logf("RESULT: the rule held")
	fmt.Println("held")
}
