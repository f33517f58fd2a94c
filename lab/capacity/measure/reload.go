package measure

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"spanflow/internal/emulator"
)

var (
	reloadTime   = quantity{"time until a changed list of the configuration is in force", "destinations", "s"}
	reloadCPU    = quantity{"processor time of a reload that changes the configuration's list", "destinations", "s"}
	rereadTime   = quantity{"time of a reload that leaves the list to discovery", "destinations", "s"}
	tookUpOrder  = `"message":"configuration reloaded"`
	otherLogging = "[log]\nids = [\"%d\"]\n"
)

const mostConfigured = 10_000 // destinations in a list of the configuration; a larger fleet has discovery

// measureReload measures reloads by SIGHUP.
func measureReload(t *trial) error {
	if err := t.sweep("a list from discovery", 0.3, linearly, sizes(t.Largest), t.reloadOther); err != nil {
		return err
	}
	return t.sweep("a list of the configuration", 0.7, quadratically, sizes(min(t.Largest, mostConfigured)), t.reloadList)
}

// reloadOther measures a reload that changes what is logged, with a list from discovery, until it is in force.
func (t *trial) reloadOther(size int) error {
	c := &configuration{destinations: size}
	p, server, err := t.startListed(c)
	if err != nil {
		return err
	}
	defer server.close()
	defer p.kill()
	took, err := t.bestOf(func() (float64, error) {
		count := p.log.Count(tookUpOrder)
		c.settings = fmt.Sprintf(otherLogging, count)
		if err := t.rewrite(p, c); err != nil {
			return 0, err
		}
		began := time.Now()
		if err := p.reload(); err != nil {
			return 0, err
		}
		for p.log.Count(tookUpOrder) == count {
			if time.Since(began) > startWithin {
				return 0, fmt.Errorf("no reload within %s; the log ends: %s", startWithin, lastLine(p.log.String()))
			}
			if err := t.pause(pollInterval); err != nil {
				return 0, err
			}
		}
		return time.Since(began).Seconds(), nil
	})
	if err == nil {
		t.record(rereadTime, float64(size), took)
	}
	return err
}

// reloadList measures a reload of a configuration to whose list a destination was added, until a message for it is
// accepted.
func (t *trial) reloadList(size int) error {
	c := &configuration{destinations: size}
	p, err := t.start(c)
	if err != nil {
		return err
	}
	defer p.kill()
	cpu := 0.0
	took, err := t.bestOf(func() (float64, error) {
		took, used, err := t.reload(p, c)
		if cpu == 0 || used < cpu {
			cpu = used
		}
		return took, err
	})
	if err != nil {
		return err
	}
	t.record(reloadTime, float64(size), took)
	t.record(reloadCPU, float64(size), cpu)
	return nil
}

// rewrite replaces the process's configuration.
func (t *trial) rewrite(p *process, c *configuration) error {
	next := p.file + ".next"
	if err := c.write(next, p.state, t.Memory); err != nil {
		return err
	}
	return os.Rename(next, p.file)
}

// reload adds a destination to the process's configuration and returns the time until it is known, and the process's
// processor time meanwhile, in seconds.
func (t *trial) reload(p *process, c *configuration) (took, cpu float64, err error) {
	if err := t.pause(settlingTime); err != nil {
		return 0, 0, err
	}
	c.destinations++
	if err := t.rewrite(p, c); err != nil {
		return 0, 0, err
	}
	before, err := processorTimeOf(p.pid())
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	if err := p.reload(); err != nil {
		return 0, 0, err
	}
	if err := t.untilKnown(p, c.destinations); err != nil {
		return 0, 0, err
	}
	took = time.Since(began).Seconds()
	after, err := processorTimeOf(p.pid())
	return took, after - before, err
}

// untilKnown submits messages for a destination until one is accepted.
func (t *trial) untilKnown(p *process, destination int) error {
	for late := time.Now().Add(startWithin); time.Now().Before(late); {
		answer, err := t.submit(p, destination)
		var late net.Error
		if errors.As(err, &late) && late.Timeout() { // a forwarder that reads a long configuration answers nobody
			continue
		}
		if err != nil {
			return err
		}
		if answer == "+OK" {
			return nil
		}
		if !strings.Contains(answer, "unknown destination") && !strings.HasPrefix(answer, "-BUSY") {
			return fmt.Errorf("a message for destination %d was answered %q", destination, answer)
		}
		if err := t.pause(pollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("destination %d was not known within %s; the log ends: %s", destination, startWithin, lastLine(p.log.String()))
}

// submit submits a message on a connection of its own and returns the answer.
func (t *trial) submit(p *process, destination int) (string, error) {
	c, err := emulator.NewClient(p.listen)
	if err != nil {
		return "", err
	}
	defer c.Close()
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	return c.Put("0000000000000000", id, fmt.Sprintf("c=%s,d=10000,dest=%d", heldType, destination), "x")
}
