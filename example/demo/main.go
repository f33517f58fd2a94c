// Command demo plays those around one forwarder: two endpoints, the ear for final answers, and a client. Without
// arguments it serves; "demo DEST BODY" hands one message in; "demo demo" starts a forwarder too, hands two messages in
// and shows what becomes of them.
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
	forwarder = "127.0.0.1:6379"
	discovery = "127.0.0.1:8500" // here it only takes final answers
	good      = "127.0.0.1:9001" // destination 1: takes everything
	shut      = "127.0.0.1:9002" // destination 2: turns everything away
	patience  = 15 * time.Second
)

func main() {
	var err error
	switch {
	case len(os.Args) == 1:
		err = serve(nil)
	case len(os.Args) == 2 && os.Args[1] == "demo":
		err = demo()
	case len(os.Args) == 3:
		_, err = handIn(os.Args[1], os.Args[2])
	default:
		err = errors.New("usage: demo | demo demo | demo DEST BODY")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// serve plays endpoints and ear; each message that ends is told to ended, if not nil.
func serve(ended chan<- string) error {
	d, err := emulator.NewDiscovery(discovery)
	if err != nil {
		return err
	}
	takes, err := emulator.NewEndpoint(good, nil)
	if err != nil {
		return err
	}
	away, err := emulator.NewEndpoint(shut, func(emulator.Call) emulator.Reply { return emulator.Reply{Status: 503} })
	if err != nil {
		return err
	}
	fmt.Println("targets serve")
	if ended != nil {
		ended <- ""
	}
	for {
		id := ""
		select {
		case c := <-takes.Calls:
			fmt.Printf("delivered    %s %q\n", c.ID, c.Body)
			id = c.ID
		case c := <-away.Calls:
			fmt.Printf("turned away  %s\n", c.ID)
		case n := <-d.Notices:
			fmt.Printf("notice       %s %s, come back after %d ms\n", n.ID, n.State, n.AfterMs)
			id = n.ID
		}
		if ended != nil && id != "" {
			ended <- id
		}
	}
}

func handIn(dest, body string) (string, error) {
	c, err := emulator.NewClient(forwarder)
	if err != nil {
		return "", err
	}
	defer c.Close()
	id := fmt.Sprintf("%016x", rand.Uint64())
	answer, err := c.Put("0000000000000000", id, "c=status-update,d=5000,dest="+dest, body)
	fmt.Printf("handed in    %s for destination %s: %s\n", id, dest, answer)
	return id, err
}

// demo ends once both messages have.
func demo() error {
	ended, failed := make(chan string), make(chan error, 1)
	go func() { failed <- serve(ended) }()
	late := time.After(patience)
	select {
	case err := <-failed:
		return err
	case <-ended:
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	f := exec.Command(filepath.Join(filepath.Dir(self), "spanflow"), "run", "--config", "example/spanflow.toml")
	f.Stdout, f.Stderr = os.Stdout, os.Stderr
	if err := f.Start(); err != nil {
		return err
	}
	gone := make(chan error, 1)
	go func() { gone <- f.Wait() }()
	for {
		if c, err := emulator.NewClient(forwarder); err == nil {
			c.Close()
			break
		}
		select {
		case err := <-gone:
			return fmt.Errorf("the forwarder ended: %v", err)
		case <-late:
			return errors.New("the forwarder does not listen")
		case <-time.After(50 * time.Millisecond):
		}
	}
	open := map[string]bool{}
	for _, dest := range []string{"1", "2"} {
		id, err := handIn(dest, "hello")
		if err != nil {
			return err
		}
		open[id] = true
	}
	for len(open) > 0 {
		select {
		case id := <-ended:
			delete(open, id)
		case <-late:
			return errors.New("a document did not end in time")
		}
	}
	f.Process.Signal(syscall.SIGTERM)
	<-gone
	fmt.Println("both documents have ended")
	return nil
}
