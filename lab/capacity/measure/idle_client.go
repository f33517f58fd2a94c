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
	maxConnecting    = 64  // connections that are opened at the same time
	spareDescriptors = 256 // descriptors beyond those that clients need
)

// measureIdleClient measures the cost of a client connection that has sent requests and then stays idle.
func measureIdleClient(t *trial) error {
	return t.sweep("connections", 1, linearTime, sizes(t.Largest), func(size int) error {
		// Clients get two thirds of the descriptors. All sizes have the same limit because the size of the forwarder's
		// tables depends on it.
		p, err := t.start(&configuration{destinations: 1, descriptors: t.Largest*3/2 + spareDescriptors})
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
			err = forEach(clients, ping) // the server may have closed early connections in favor of later ones
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

// connect opens connections and sends PING on each. In case of an error it also returns the connections opened so far.
func connect(address string, number int) ([]*emulator.Client, error) {
	clients := make([]*emulator.Client, number)
	indexes := make([]int, number)
	for i := range indexes {
		indexes[i] = i
	}
	err := forEach(indexes, func(i int) error {
		c, err := emulator.NewClient(address)
		if err != nil {
			return err
		}
		clients[i] = c
		return ping(c)
	})
	connected := clients[:0]
	for _, c := range clients {
		if c != nil {
			connected = append(connected, c)
		}
	}
	return connected, err
}

func ping(c *emulator.Client) error {
	answer, err := c.Send(emulator.Command("PING"))
	if err == nil && answer != "+PONG" {
		err = fmt.Errorf("PING was answered %q", answer)
	}
	return err
}

// forEach calls a function for every element of a list, maxConnecting at the same time. A worker stops calling it after
// its first error.
func forEach[T any](list []T, do func(T) error) error {
	var workers sync.WaitGroup
	work := make(chan T)
	errs := make([]error, min(maxConnecting, len(list)))
	for i := range errs {
		workers.Go(func() {
			for x := range work {
				if errs[i] == nil {
					errs[i] = do(x)
				}
			}
		})
	}
	for _, x := range list {
		work <- x
	}
	close(work)
	workers.Wait()
	return errors.Join(errs...)
}
