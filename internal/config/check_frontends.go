package config

import (
	"fmt"
	"net"

	"spanflow/forwarder"
)

// defaultWaitingBytes is what a frontend's waiting messages may take if the configuration does not say.
const defaultWaitingBytes = 4 << 20

func (c *checker) checkFrontends() {
	if len(c.Frontends) == 0 {
		c.problem("fronts", "there is none: no message can come in")
		return
	}
	names, addresses := map[string]int{}, map[string]int{} // the number of the latest frontend with each
	for i := range c.Frontends {
		c.checkFrontend(i, names, addresses)
	}
	c.checkFrontendTotals()
	if c.Metrics.Listen != "" && !hasAnyPort(c.Metrics.Listen) {
		if i, taken := addresses[c.Metrics.Listen]; taken {
			c.problem("metrics.listen", "fronts[%d] listens there too", i)
		}
	}
}

// checkFrontend checks one frontend, and its name and address against those before it.
func (c *checker) checkFrontend(i int, names, addresses map[string]int) {
	f := &c.Frontends[i]
	field := func(key string) string { return fmt.Sprintf("fronts[%d].%s", i, key) }
	if !plainName.MatchString(f.Name) {
		c.problem(field("name"), "%q is not made of up to 63 small letters, digits and hyphens", f.Name)
	}
	if first, taken := names[f.Name]; taken {
		c.problem(field("name"), "fronts[%d] has this name too", first)
	}
	names[f.Name] = i
	if !forwarder.HasFrontendProtocol(f.Protocol) {
		c.problem(field("protocol"), "unknown protocol %q", f.Protocol)
	}
	c.address(field("listen"), f.Listen)
	if first, taken := addresses[f.Listen]; taken && !hasAnyPort(f.Listen) {
		c.problem(field("listen"), "fronts[%d] listens there too", first)
	}
	addresses[f.Listen] = i
	if f.Connections != 0 && f.Connections < minConnections {
		c.problem(field("connections"), "%d is under the least, %d", f.Connections, minConnections)
	}
	if f.Waiting < 0 {
		c.problem(field("waiting"), "%d is under 0", f.Waiting)
	}
}

// checkFrontendTotals checks what all frontends take together against the process's limits.
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
		c.problem("fronts", "their connections, %d and at least %d for each other one, "+
			"are more than the %d that limits.descriptors allows", connections, minConnections, allowed)
	}
	if waiting > c.Limits.Memory/2 {
		c.problem("fronts", "%s of waiting messages are more than half of limits.memory, %s", waiting, c.Limits.Memory)
	}
}

// hasAnyPort reports whether the port of an address is chosen when the address is opened.
func hasAnyPort(addr string) bool {
	_, port, err := net.SplitHostPort(addr)
	return err == nil && port == "0"
}
