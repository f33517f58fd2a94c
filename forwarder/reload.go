package forwarder

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
)

// A configuration change is applied in steps: reload has the configuration read again, applyConfig compares it with the
// present one part by part (ConfigParts), and what may change in a running forwarder is applied, all of it or nothing.
// What else differs waits for the next start and is only logged.

// ReloadBehavior is when a changed part of the configuration takes effect.
type ReloadBehavior uint8

// The moments at which a change can take effect.
const (
	OnReload  ReloadBehavior = iota // in the running forwarder, when it reloads
	OnRestart                       // at the next start
)

// String is the moment as commands print it.
func (b ReloadBehavior) String() string { return [...]string{"reload", "restart"}[b] }

// Names of the parts that a running forwarder can change.
const (
	partListen    = "listen"
	partNotices   = "notices"
	partDiscovery = "discovery"
	partTargets   = "targets"
	partLog       = "log"
	partBacklog   = "backlog"
)

// ConfigPart is a part of the configuration that changes as a whole. Reloads and the commands that describe a change
// both use ConfigParts.
type ConfigPart struct {
	Name   string
	Keys   []string // of the configuration file: whole sections or single keys
	When   ReloadBehavior
	values func(c *Config) any
}

// ConfigParts are all parts of the configuration. All but discovery take effect on reload only where the
// configuration's form has them so (FullReload): the platform's form changes nothing but discovery.
var ConfigParts = []ConfigPart{
	{"name", []string{"name"}, OnRestart, func(c *Config) any { return c.Name }},
	{partListen, []string{"fronts"}, OnReload, func(c *Config) any { return c.Frontends }},
	{partNotices, []string{"discovery.notices"}, OnReload, func(c *Config) any { return c.noticeAddress }},
	{partDiscovery, []string{"discovery"}, OnReload, func(c *Config) any { return c.configuredDiscovery }},
	{partTargets, []string{"targets"}, OnReload, func(c *Config) any { return c.StaticEndpoints }},
	{partLog, []string{"log"}, OnReload, func(c *Config) any { return c.Log }},
	{"admin", []string{"admin"}, OnRestart, func(c *Config) any { return c.Admin }},
	{"metrics", []string{"metrics"}, OnRestart, func(c *Config) any { return [2]string{c.Metrics, c.TokenFile} }},
	{"seed", []string{"seed"}, OnRestart, func(c *Config) any {
		if c.FullReload && !c.RandomSeed { // the platform's is another at each start
			return c.Seed
		}
		return c.RandomSeed
	}},
	{"state", []string{"ledger.folder"}, OnRestart, func(c *Config) any { return c.Folder }},
	{
		partBacklog,
		[]string{"backlog.disk", "backlog.destination", "backlog.tenant", "backlog.window", "backlog.behind"},
		OnReload, func(c *Config) any { return c.Backlog.bounds() },
	},
	{"backlog_folder", []string{"backlog.folder"}, OnRestart, func(c *Config) any { return c.Backlog.folder() }},
	{"limits", []string{"limits", "ledger.disk"}, OnRestart, func(c *Config) any {
		return [4]float64{float64(c.MemoryMB), float64(c.Descriptors), float64(c.DiskMB), c.Cores}
	}},
	{
		"settings", []string{"types", "kinds", "tenants", "zones", "zone", "dispatch", "outlets"},
		OnRestart, func(c *Config) any { return []any{c.Scheduler, c.Names, c.Upstreams, c.KindUpstream} },
	},
}

// folder is where the backlog store is; empty: there is none.
func (b *Backlog) folder() string {
	if b == nil {
		return ""
	}
	return b.Folder
}

// bounds is the store's configuration but for its folder: what a running forwarder can change. Without a store all are
// zero.
func (b *Backlog) bounds() Backlog {
	if b == nil {
		return Backlog{}
	}
	bounds := *b
	bounds.Folder = ""
	return bounds
}

// takesEffect is when a change of the part in this configuration takes effect.
func (p *ConfigPart) takesEffect(c *Config) ReloadBehavior {
	if p.Name != partDiscovery && !c.FullReload {
		return OnRestart
	}
	return p.When
}

// reloadState says whether the configuration is being read again.
type reloadState struct {
	reading bool // by a goroutine of its own
	again   bool // once more after that, as it may have changed meanwhile
}

// reload has the configuration read again, by a goroutine of its own: a file may be large, or on a file system that
// does not answer, and the event loop would serve nobody meanwhile. The configRead event brings it back. While it is
// being read any number of further calls lead to one more reading.
func (loop *eventLoop) reload() {
	if loop.config.Reload == nil {
		return
	}
	if loop.reloading.reading {
		loop.reloading.again = true
		return
	}
	loop.reloading.reading = true
	read, queue := loop.config.Reload, loop.queue
	go func() {
		next, err := read()
		queue.push(configRead{next, err})
	}()
}

// handleConfigRead applies what has changed in a configuration that was read again. One that cannot be read or applied
// changes nothing.
func (loop *eventLoop) handleConfigRead(ev configRead) {
	loop.reloading.reading = false
	if loop.reloading.again {
		loop.reloading.again = false
		loop.reload()
	}
	err := ev.err
	if err == nil {
		err = loop.applyConfig(ev.next)
	}
	if err != nil {
		loop.telemetry.figures.invalid++
		loop.telemetry.log.Error().Str("reason", err.Error()).Msg("configuration not reloaded")
		return
	}
	loop.telemetry.figures.accepted++
}

// applyConfig makes the running forwarder follow the next configuration as far as it can without a restart. After an
// error nothing has changed.
func (loop *eventLoop) applyConfig(next *Config) error {
	changed, onRestart := loop.changedParts(next)
	if changed[partListen] && loop.shutdown.begun { // a process that ends opens no frontends
		delete(changed, partListen)
		onRestart = append(onRestart, partListen)
	}
	if err := loop.checkSources(next, changed); err != nil {
		return err
	}
	if err := loop.applyBacklogAndFrontends(next, changed); err != nil { // first, as these can fail
		return err
	}
	loop.applyAddresses(next, changed)
	if changed[partTargets] && loop.discovery.static != nil {
		loop.applyStaticEndpoints(next)
	}
	if changed[partLog] {
		loop.config.Log = next.Log
		loop.telemetry.log = next.Log.to(loop.telemetry.output, loop.config.Name)
		loop.telemetry.trace = newTrace(next.Log)
	}
	event := loop.telemetry.log.Info().Str("discovery", loop.config.Discovery).Strs("at_next_start", onRestart)
	if changed[partListen] {
		event = event.Strs("listen", loop.frontendAddresses())
	}
	event.Msg("configuration reloaded")
	return nil
}

// changedParts compares the present configuration with the next: the parts that change now, and the names of those that
// change with a restart.
func (loop *eventLoop) changedParts(next *Config) (now map[string]bool, onRestart []string) {
	present := *loop.config
	present.Scheduler = loop.configuredScheduler // as read: what was added at the start is no change
	now = map[string]bool{}
	for _, part := range ConfigParts {
		if reflect.DeepEqual(part.values(&present), part.values(next)) {
			continue
		}
		if part.takesEffect(loop.config) == OnReload {
			now[part.Name] = true
		} else {
			onRestart = append(onRestart, part.Name)
		}
	}
	return now, onRestart
}

// checkSources refuses changes of the sources of the endpoint list and of the notices' receiver that need other
// connections than there are.
func (loop *eventLoop) checkSources(next *Config, changed map[string]bool) error {
	if changed[partDiscovery] && (loop.config.configuredDiscovery == "") != (next.configuredDiscovery == "") {
		return errors.New(
			"discovery: a list in the configuration and one from discovery replace each other only at a start")
	}
	if changed[partNotices] && (loop.config.noticeAddress == "") != (next.noticeAddress == "") {
		return errors.New("discovery.notices: an address of its own is added or removed only at a start")
	}
	return nil
}

// applyBacklogAndFrontends changes the backlog's bounds and the frontends, both or neither.
func (loop *eventLoop) applyBacklogAndFrontends(next *Config, changed map[string]bool) error {
	present := loop.config
	resize := changed[partBacklog] && loop.backlog != nil && next.Backlog != nil
	if resize {
		if err := loop.setBacklogBounds(next.Backlog); err != nil {
			return err
		}
	}
	if changed[partListen] {
		if err := loop.replaceFrontends(next.Frontends); err != nil {
			if resize {
				err = errors.Join(err, loop.setBacklogBounds(present.Backlog))
			}
			return err
		}
		present.Frontends = next.Frontends
	}
	if resize {
		present.Backlog = next.Backlog
	}
	return nil
}

// applyAddresses moves to other addresses of discovery and of the notices' receiver. Without a change of the file a
// variable that took precedence at the start still does.
func (loop *eventLoop) applyAddresses(next *Config, changed map[string]bool) {
	present := loop.config
	if changed[partDiscovery] {
		present.configuredDiscovery, present.Discovery = next.configuredDiscovery, next.configuredDiscovery
		if loop.discovery.movable != nil {
			loop.discovery.movable.Reconfigure(present.Discovery, loop.discovery.revision)
		}
	}
	if changed[partNotices] {
		present.noticeAddress = next.noticeAddress
		loop.notices.movable.Reconfigure(present.noticeAddress, 0)
	}
}

// applyStaticEndpoints puts the next configuration's own list in the place of the present one.
func (loop *eventLoop) applyStaticEndpoints(next *Config) {
	loop.config.StaticEndpoints = next.StaticEndpoints
	loop.discovery.static.list = *next.StaticEndpoints
	loop.discovery.static.list.Revision = loop.discovery.revision + 1
	loop.discovery.static.Watch(0)
}

// replaceFrontends puts other frontends in the place of the present ones. A frontend whose configuration stays is
// left alone; one that goes takes no new connections, and each of its callers is answered before its connection ends.
// The new ones open first: if one cannot, nothing has changed.
func (loop *eventLoop) replaceFrontends(next []Frontend) error {
	limits, err := divideConnections(next, MaxClients(loop.config.Descriptors))
	if err != nil {
		return err
	}
	var kept, removed []*openFrontend
	for _, f := range loop.frontends.open {
		if slices.Contains(next, f.config) {
			kept = append(kept, f)
		} else {
			removed = append(removed, f)
		}
	}
	var added []Frontend
	var connections []int
	for i, config := range next {
		if slices.ContainsFunc(kept, func(f *openFrontend) bool { return f.config == config }) {
			continue
		}
		for _, f := range removed {
			if f.config.Listen == config.Listen && f.Addr() == config.Listen {
				return fmt.Errorf(
					"fronts: %s: the other keys of a front change only together with its address, or at a start", config.Name)
			}
		}
		added, connections = append(added, config), append(connections, limits[i])
	}
	opened, err := loop.openFrontends(added, connections)
	if err != nil {
		return err
	}
	for _, f := range removed {
		f.StopAccepting()
		f.Drain()
	}
	loop.frontends.open, loop.frontends.leaving = append(kept, opened...), append(loop.frontends.leaving, removed...)
	return nil
}
