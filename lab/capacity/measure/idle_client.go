package measure

import (
	"errors"
	"fmt"
	"sync"

	"spanflow/internal/emulator"
)

var (
	idleMemory      = quantity{"memory of the forwarder", "connections", "bytes"}
	idleDescriptors = quantity{"descriptors of the forwarder", "connections", "descriptors"}
)

const (
	connecting      = 64  // connections that are made at once
	spareForClients = 256 // descriptors beyond those that the clients need
)

// measureIdleClient measures what a client's connection costs that has sent one request and stays idle.
func measureIdleClient(t *trial) error {
	return t.sweep("connections", 1, linearly, sizes(t.Largest), func(size int) error {
		// Clients get two thirds of the descriptors; all sizes get as many, as the forwarder's tables depend on them.
		p, err := t.start(&configuration{destinations: 1, descriptors: t.Largest*3/2 + spareForClients})
		if err != nil {
			return err
		}
		defer p.kill()
		clients, err := connect(p.listen, size)
		defer func() {
			for _, c := range clients {
				c.Close()
			}
		}()
		if err == nil {
			err = each(clients, alive) // once more, as a server may close the first ones for the last
		}
		if err != nil {
			return err
		}
		resident, err := residentBytes(p.pid())
		if err != nil {
			return err
		}
		descriptors, err := openDescriptors(p.pid())
		if err != nil {
			return err
		}
		t.record(idleMemory, float64(size), float64(resident))
		t.record(idleDescriptors, float64(size), float64(descriptors))
		return nil
	})
}

// connect makes so many connections, each of which has sent PING.
func connect(address string, number int) ([]*emulator.Client, error) {
	clients := make([]*emulator.Client, number)
	places := make([]int, number)
	for i := range places {
		places[i] = i
	}
	err := each(places, func(i int) error {
		c, err := emulator.NewClient(address)
		if err != nil {
			return err
		}
		clients[i] = c
		return alive(c)
	})
	made := clients[:0]
	for _, c := range clients {
		if c != nil {
			made = append(made, c)
		}
	}
	return made, err
}

func alive(c *emulator.Client) error {
	answer, err := c.Send(emulator.Command("PING"))
	if err == nil && answer != "+PONG" {
		err = fmt.Errorf("a client was answered %q", answer)
	}
	return err
}

// each does something with all of a list, a few at once.
func each[T any](list []T, do func(T) error) error {
	var all sync.WaitGroup
	work := make(chan T)
	failed := make([]error, min(connecting, len(list)))
	for i := range failed {
		all.Go(func() {
			for x := range work {
				if failed[i] == nil {
					failed[i] = do(x)
				}
			}
		})
	}
	for _, x := range list {
		work <- x
	}
	close(work)
	all.Wait()
	return errors.Join(failed...)
}
