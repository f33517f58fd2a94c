// Command toy plays those around one forwarder: discovery with two targets, and a client. Without arguments it serves;
// with arguments it hands one document in: toy DEST BODY.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"

	"spanflow/internal/standin"
)

const (
	forwarder = "127.0.0.1:6379"
	discovery = "127.0.0.1:8500"
	good      = "127.0.0.1:9001" // destination 1: takes everything
	shut      = "127.0.0.1:9002" // destination 2: turns everything away
)

func main() {
	err := serve
	if len(os.Args) == 3 {
		err = handIn
	}
	if e := err(); e != nil {
		fmt.Fprintln(os.Stderr, "toy:", e)
		os.Exit(1)
	}
}

func serve() error {
	d, err := standin.NewDiscovery(discovery,
		standin.Entry{UID: "good", Endpoint: good, Zone: "a", Kind: "partners", Dest: 1, State: "active"},
		standin.Entry{UID: "shut", Endpoint: shut, Zone: "a", Kind: "partners", Dest: 2, State: "active"})
	if err != nil {
		return err
	}
	takes, err := standin.NewTarget(good, nil)
	if err != nil {
		return err
	}
	away, err := standin.NewTarget(shut, func(standin.Call) standin.Reply { return standin.Reply{Status: 503} })
	if err != nil {
		return err
	}
	fmt.Println("discovery and targets serve")
	for {
		select {
		case c := <-takes.Calls:
			fmt.Printf("delivered    %s %q\n", c.ID, c.Body)
		case c := <-away.Calls:
			fmt.Printf("turned away  %s\n", c.ID)
		case n := <-d.Notices:
			fmt.Printf("notice       %s %s, come back after %d ms\n", n.ID, n.State, n.AfterMs)
		}
	}
}

func handIn() error {
	c, err := standin.NewClient(forwarder)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	answer, err := c.Put("0000000000000000", id, "c=status-update,d=5000,dest="+os.Args[1], os.Args[2])
	fmt.Println(id, answer)
	return err
}
