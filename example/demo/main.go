// Command demo emulates the peers of one forwarder: two endpoints, the receiver of notices and a client. Without
// arguments it runs the endpoints and the receiver; "demo DEST BODY" submits one message; "demo demo" runs the
// endpoints and the receiver, starts a forwarder, submits two messages and prints their outcomes.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"spanflow/internal/emulator"
)

const (
	forwarderAddr = "127.0.0.1:6379"
	discoveryAddr = "127.0.0.1:8500" // only receives notices in this example
	acceptingAddr = "127.0.0.1:9001" // destination 1: accepts everything
	rejectingAddr = "127.0.0.1:9002" // destination 2: rejects everything
	configFile    = "example/spanflow.toml"
	demoTimeout   = 15 * time.Second
	dialInterval  = 50 * time.Millisecond
)

func main() {
	var err error
	switch {
	case len(os.Args) == 1:
		err = serve(nil)
	case len(os.Args) == 2 && os.Args[1] == "demo":
		err = demonstrate()
	case len(os.Args) == 3:
		_, err = submit(os.Args[1], os.Args[2])
	default:
		err = errors.New("usage: demo | demo demo | demo DEST BODY")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// serve emulates the endpoints and the receiver of notices, and returns only if they cannot listen. If ended is not
// nil, serve sends it an empty string once they are listening, and then the id of each message that ends.
func serve(ended chan<- string) error {
	discovery, err := emulator.NewDiscovery(discoveryAddr)
	if err != nil {
		return err
	}
	accepting, err := emulator.NewEndpoint(acceptingAddr, nil)
	if err != nil {
		return err
	}
	rejecting, err := emulator.NewEndpoint(rejectingAddr, func(emulator.Call) emulator.Reply {
		return emulator.Reply{Status: 503}
	})
	if err != nil {
		return err
	}
	fmt.Println("endpoints are ready to serve")
	if ended != nil {
		ended <- ""
	}
	for {
		id := ""
		select {
		case call := <-accepting.Calls:
			fmt.Printf("delivered    %s %q\n", call.ID, call.Body)
			id = call.ID
		case call := <-rejecting.Calls:
			fmt.Printf("rejected     %s\n", call.ID)
		case notice := <-discovery.Notices:
			fmt.Printf("notice       %s %s, submit it again after %d ms\n", notice.ID, notice.State, notice.AfterMs)
			id = notice.ID
		}
		if ended != nil && id != "" {
			ended <- id
		}
	}
}

// submit submits a message for a destination and returns its id.
func submit(destination, body string) (string, error) {
	client, err := emulator.NewClient(forwarderAddr)
	if err != nil {
		return "", err
	}
	defer client.Close()
	id := fmt.Sprintf("%016x", rand.Uint64())
	answer, err := client.Put("0000000000000000", id, "c=status-update,d=5000,dest="+destination, body)
	fmt.Printf("submitted    %s for destination %s: %s\n", id, destination, answer)
	return id, err
}

// demonstrate starts a forwarder, submits a message for each destination and returns once both have ended.
func demonstrate() error {
	ended, failed := make(chan string), make(chan error, 1)
	go func() { failed <- serve(ended) }()
	timeout := time.After(demoTimeout)
	select {
	case err := <-failed:
		return err
	case <-ended:
	}
	forwarder, exited, err := startForwarder()
	if err != nil {
		return err
	}
	if err := awaitForwarder(exited, timeout); err != nil {
		return err
	}
	if err := submitBoth(ended, timeout); err != nil {
		return err
	}
	_ = forwarder.Process.Signal(syscall.SIGTERM) // it may have ended already
	<-exited
	fmt.Println("both messages have ended")
	return nil
}

// startForwarder starts the spanflow program in the folder of this one. The channel receives the result of its Wait.
func startForwarder() (*exec.Cmd, <-chan error, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	forwarder := exec.Command(filepath.Join(filepath.Dir(self), "spanflow"), "run", "--config", configFile)
	forwarder.Stdout, forwarder.Stderr = os.Stdout, os.Stderr
	if err := forwarder.Start(); err != nil {
		return nil, nil, err
	}
	exited := make(chan error, 1)
	go func() { exited <- forwarder.Wait() }()
	return forwarder, exited, nil
}

// awaitForwarder waits until the forwarder listens for clients.
func awaitForwarder(exited <-chan error, timeout <-chan time.Time) error {
	for {
		if client, err := emulator.NewClient(forwarderAddr); err == nil {
			return client.Close()
		}
		select {
		case err := <-exited:
			return fmt.Errorf("the forwarder exited: %v", err) // nil if the exit status is 0
		case <-timeout:
			return errors.New("the forwarder did not listen in time")
		case <-time.After(dialInterval):
		}
	}
}

// submitBoth submits a message for each destination and waits until both have ended.
func submitBoth(ended <-chan string, timeout <-chan time.Time) error {
	pending := map[string]bool{}
	for _, destination := range []string{"1", "2"} {
		id, err := submit(destination, "hello")
		if err != nil {
			return err
		}
		pending[id] = true
	}
	for len(pending) > 0 {
		select {
		case id := <-ended:
			delete(pending, id)
		case <-timeout:
			return errors.New("a message did not end in time")
		}
	}
	return nil
}
