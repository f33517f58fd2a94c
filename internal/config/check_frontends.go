package config

import (
	"fmt"
	"net"

	"spanflow/forwarder"
)

// defaultWaitingBytes is the limit for a frontend's waiting messages if waiting_bytes is not set.
const defaultWaitingBytes = 4 << 20

func (c *checker) checkFrontends() {
	if len(c.Frontends) == 0 {
		c.problem("fronts", "none is configured, so no message can be submitted")
		return
	}
	names, addresses := map[string]int{}, map[string]int{} // index of the latest frontend with that name or address
	for i := range c.Frontends {
		c.checkFrontend(i, names, addresses)
	}
	c.checkFrontendTotals()
	if c.Metrics.Listen != "" && !hasAnyPort(c.Metrics.Listen) {
		if i, taken := addresses[c.Metrics.Listen]; taken {
			c.problem("metrics.listen", "fronts[%d] already listens on this address", i)
		}
	}
}

// checkFrontend checks one frontend, whose name and address must differ from those of the frontends before it.
func (c *checker) checkFrontend(i int, names, addresses map[string]int) {
	f := &c.Frontends[i]
	field := func(key string) string { return fmt.Sprintf("fronts[%d].%s", i, key) }
	if !plainName.MatchString(f.Name) {
		c.problem(field("name"), "%q is not a name of 1 to 63 lowercase letters, digits and hyphens that begins with a letter or digit", f.Name)
	}
	if first, taken := names[f.Name]; taken {
		c.problem(field("name"), "fronts[%d] already has this name", first)
	}
	names[f.Name] = i
	if !forwarder.HasFrontendProtocol(f.Protocol) {
		c.problem(field("protocol"), "unknown protocol %q", f.Protocol)
	}
	c.address(field("listen"), f.Listen)
	if first, taken := addresses[f.Listen]; taken && !hasAnyPort(f.Listen) {
		c.problem(field("listen"), "fronts[%d] already listens on this address", first)
	}
	addresses[f.Listen] = i
	if f.Connections != 0 && f.Connections < minConnections {
		c.problem(field("connections"), "%d is below the minimum, %d", f.Connections, minConnections)
	}
	if f.Waiting < 0 {
		c.problem(field("waiting"), "%d is negative", f.Waiting)
	}
}

// checkFrontendTotals checks the connections and the waiting bytes of all frontends against the process's limits.
func (c *checker) checkFrontendTotals() {
	connections, unset, waiting := 0, 0, Size(0)
	for _, f := range c.Frontends {
		connections += f.Connections
		if f.Connections == 0 {
			unset++
		}
		waiting += f.WaitingBytes
		if f.WaitingBytes == 0 {
			waiting += defaultWaitingBytes
		}
	}
	if allowed := forwarder.MaxClients(c.Limits.Descriptors); connections+unset*minConnections > allowed {
		c.problem("fronts", "%d configured connections, and at least %d for each frontend without a setting, "+
			"exceed the %d that limits.descriptors allows", connections, minConnections, allowed)
	}
	if waiting > c.Limits.Memory/2 {
		c.problem("fronts", "%s for waiting messages is more than half of limits.memory, %s", waiting, c.Limits.Memory)
	}
}

// hasAnyPort reports whether the port of an address is 0, so that the system chooses a free port.
func hasAnyPort(addr string) bool {
	_, port, err := net.SplitHostPort(addr)
	return err == nil && port == "0"
}
