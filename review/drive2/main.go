// Command review2 runs the cases of the second review. Each case starts the project's own programs with the commands of
// deploy/balancer.toml, on loopback addresses, with the stand-ins of this package for clients, targets, discovery and
// operators. It writes what happened to record.txt in the folder of the case. It exits with 1 if the rule of the case
// was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a case that takes too long.
const timeLimit = 110 * time.Second

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases by name. A case returns why its rule was broken, or "" if it held. With trouble false it does the same without
// the disruption.
var cases = map[string]func(r *record, trouble bool) (string, error){
	"lameduck":        lameDuckCase,
	"emptied-upgrade": emptiedUpgradeCase,
	"cut":             cutCase,
	"large-batch":     largeBatchCase,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		return cannotRun
	}
	r, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	go endLate()
	verdict, err := cases[arguments[0]](r, os.Getenv("TROUBLE") != "0")
	code := held
	switch {
	case err != nil:
		verdict, code = "the case could not run: "+err.Error(), cannotRun
	case verdict != "":
		verdict, code = "BROKEN: "+verdict, broken
	default:
		verdict = "the rule held"
	}
	r.note("%s", verdict)
	fmt.Println(verdict)
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	return code
}

// endLate ends the case, and all processes that it started, on a signal or when its time is over.
func endLate() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	killAll()
	fmt.Println("the case could not run: it was ended")
	os.Exit(cannotRun)
}
