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
	reloadTime      = quantity{"time until a changed list of the configuration is in force", "destinations", "s"}
	reloadCPU       = quantity{"processor time of a reload that changes the configuration's list", "destinations", "s"}
	otherReloadTime = quantity{"time of a reload that leaves the list to discovery", "destinations", "s"}
	reloadedLine    = `"message":"configuration reloaded"`
	loggingSection  = "[log]\nids = [\"%d\"]\n"
)

const maxConfigured = 10_000 // maximum number of destinations in the configuration's list; larger fleets use discovery

// measureReload measures reloads of the configuration by SIGHUP, with the list in discovery and in the configuration.
func measureReload(t *trial) error {
	if err := t.sweep("a list from discovery", 0.3, linearTime, sizes(t.Largest), t.reloadOther); err != nil {
		return err
	}
	return t.sweep("a list of the configuration", 0.7, quadraticTime, sizes(min(t.Largest, maxConfigured)), t.reloadList)
}

// reloadOther measures the time until a reload that changes only the log settings is in force, with a list from
// discovery.
func (t *trial) reloadOther(size int) error {
	c := &configuration{destinations: size}
	p, server, err := t.startListed(c)
	if err != nil {
		return err
	}
	defer server.close()
	defer p.kill()
	took, err := t.bestOf(func() (float64, error) {
		count := p.log.Count(reloadedLine)
		c.settings = fmt.Sprintf(loggingSection, count)
		if err := t.rewrite(p, c); err != nil {
			return 0, err
		}
		began := time.Now()
		if err := p.reload(); err != nil {
			return 0, err
		}
		for p.log.Count(reloadedLine) == count {
			if time.Since(began) > startTimeout {
				return 0, fmt.Errorf("the configuration was not reloaded within %s; the last log line: %s", startTimeout, lastLine(p.log.String()))
			}
			if err := t.pause(pollInterval); err != nil {
				return 0, err
			}
		}
		return time.Since(began).Seconds(), nil
	})
	if err == nil {
		t.record(otherReloadTime, float64(size), took)
	}
	return err
}

// reloadList measures a reload that adds a destination to the configuration's list. The reload is in force when a
// message for that destination is accepted.
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

// rewrite replaces the file of the process's configuration.
func (t *trial) rewrite(p *process, c *configuration) error {
	next := p.file + ".next"
	if err := c.write(next, p.state, t.Memory); err != nil {
		return err
	}
	return os.Rename(next, p.file)
}

// reload adds a destination to the process's configuration. It returns the time until the destination is known and the
// processor time that the process used meanwhile, both in seconds.
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
	if err := t.awaitKnown(p, c.destinations); err != nil {
		return 0, 0, err
	}
	took = time.Since(began).Seconds()
	after, err := processorTimeOf(p.pid())
	return took, after - before, err
}

// awaitKnown submits messages for a destination until one is accepted.
func (t *trial) awaitKnown(p *process, destination int) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		answer, err := t.submit(p, destination)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() { // a forwarder answers no client while it reads a long configuration
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
	return fmt.Errorf("destination %d was not known within %s; the last log line: %s", destination, startTimeout, lastLine(p.log.String()))
}

// submit submits a message on a new connection and returns the answer.
func (t *trial) submit(p *process, destination int) (string, error) {
	c, err := emulator.NewClient(p.listen)
	if err != nil {
		return "", err
	}
	defer c.Close()
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	return c.Put("0000000000000000", id, fmt.Sprintf("c=%s,d=10000,dest=%d", heldType, destination), "x")
}
