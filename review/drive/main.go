// Command drive plays one case of the review: it starts forwarders with the run command of the deploy file and stands
// in for clients, targets, discovery and the platform, on loopback addresses and the real clock.
//
//	drive CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD. The exit code is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not be run. With TROUBLE=0 the case is played without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 100 * time.Second

// errSetup is the error of a case that could not be run.
var errSetup = errors.New("the case could not be run")

// play is a run of one case. It returns the number of violations of the rule.
type play func(s *stage) (violations int, err error)

var cases = map[string]play{
	"late-connection":   lateConnection,
	"silent-agent":      silentAgent,
	"crowded-discovery": crowdedDiscovery,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	s, err := newStage(file, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	go func() { // ends all processes too if the case hangs or is told to end
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		select {
		case received := <-signals:
			s.record("ended by %v", received)
		case <-time.After(timeLimit):
			s.record("time limit reached")
		}
		s.close()
		os.Exit(exitNotRun)
	}()
	violations, err := p(s)
	switch {
	case err != nil:
		s.record("result: not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case violations > 0:
		s.record("result: the rule was broken, %d times", violations)
		return exitBroken
	default:
		s.record("result: the rule held")
		return exitHeld
	}
}
