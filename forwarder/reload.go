package forwarder

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
)

// A configuration change is applied in steps: reload reads the configuration again, and applyConfig compares it with
// the current one part by part (ConfigParts). Of the changes that a running forwarder supports, either all are applied
// or none. Other changes take effect at the next start and are only logged.

// ReloadBehavior is when a changed part of the configuration takes effect.
type ReloadBehavior uint8

// Times at which a change can take effect.
const (
	OnReload  ReloadBehavior = iota // the change takes effect in the running forwarder, when it reloads
	OnRestart                       // the change takes effect at the next start
)

// String returns the name that commands print.
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

// ConfigPart is a part of the configuration that changes as a whole. Both reloads and the commands that describe a
// change use ConfigParts.
type ConfigPart struct {
	Name   string
	Keys   []string // keys of the configuration file: whole sections or single keys
	When   ReloadBehavior
	values func(c *Config) any
}

// ConfigParts lists all parts of the configuration. All but discovery take effect on reload only if the configuration
// has FullReload set. The platform's configuration does not, so only its discovery can change.
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
		if c.FullReload && !c.RandomSeed { // the platform sets another seed at each start
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

// folder returns the folder of the backlog store, or "" if there is none.
func (b *Backlog) folder() string {
	if b == nil {
		return ""
	}
	return b.Folder
}

// bounds returns the part of the store's configuration that a running forwarder can change: everything except the
// folder. Without a store it returns the zero value.
func (b *Backlog) bounds() Backlog {
	if b == nil {
		return Backlog{}
	}
	bounds := *b
	bounds.Folder = ""
	return bounds
}

// takesEffect returns when a change of the part takes effect, given the current configuration.
func (p *ConfigPart) takesEffect(c *Config) ReloadBehavior {
	if p.Name != partDiscovery && !c.FullReload {
		return OnRestart
	}
	return p.When
}

// reloadState is the progress of a reload.
type reloadState struct {
	reading   bool // a goroutine is reading the configuration
	readAgain bool // read once more afterwards, as the file may have changed during the read
}

// reload starts a goroutine that reads the configuration again and pushes it as a configRead event. The event loop does
// not read it itself: the file may be large, or on a file system that does not respond, and no client would be served
// meanwhile. Any number of calls during a read lead to one more read.
func (loop *eventLoop) reload() {
	if loop.config.Reload == nil {
		return
	}
	if loop.reloading.reading {
		loop.reloading.readAgain = true
		return
	}
	loop.reloading.reading = true
	read, queue := loop.config.Reload, loop.queue
	go func() {
		next, err := read()
		queue.push(configRead{next, err})
	}()
}

// handleConfigRead applies the changes in a configuration that was read again. If it cannot be read or applied, nothing
// changes.
func (loop *eventLoop) handleConfigRead(ev configRead) {
	loop.reloading.reading = false
	if loop.reloading.readAgain {
		loop.reloading.readAgain = false
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

// applyConfig applies the next configuration as far as that is possible without a restart. After an error nothing has
// changed.
func (loop *eventLoop) applyConfig(next *Config) error {
	changed, onRestart := loop.changedParts(next)
	if changed[partListen] && loop.shutdown.begun { // a process that is shutting down opens no frontends
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
		loop.telemetry.log = next.Log.logger(loop.telemetry.output, loop.config.Name)
		loop.telemetry.trace = newTrace(next.Log)
	}
	event := loop.telemetry.log.Info().Str("discovery", loop.config.Discovery).Strs("at_next_start", onRestart)
	if changed[partListen] {
		event = event.Strs("listen", loop.frontendAddresses())
	}
	event.Msg("configuration reloaded")
	return nil
}

// changedParts compares the current configuration with the next one. It returns the parts that change now, and the
// names of those that change with a restart.
func (loop *eventLoop) changedParts(next *Config) (now map[string]bool, onRestart []string) {
	present := *loop.config
	present.Scheduler = loop.configuredScheduler // settings added at the start are not a change
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

// checkSources returns an error if the source of the endpoint list or the receiver of the notices would change in a way
// that the open connections do not allow.
func (loop *eventLoop) checkSources(next *Config, changed map[string]bool) error {
	if changed[partDiscovery] && (loop.config.configuredDiscovery == "") != (next.configuredDiscovery == "") {
		return errors.New(
			"discovery: switching between a list in the configuration and one from discovery needs a restart")
	}
	if changed[partNotices] && (loop.config.noticeAddress == "") != (next.noticeAddress == "") {
		return errors.New("discovery.notices: adding or removing a separate address needs a restart")
	}
	return nil
}

// applyBacklogAndFrontends changes the backlog limits and the frontends, either both or neither.
func (loop *eventLoop) applyBacklogAndFrontends(next *Config, changed map[string]bool) error {
	present := loop.config
	changeBounds := changed[partBacklog] && loop.backlog != nil && next.Backlog != nil
	if changeBounds {
		if err := loop.setBacklogBounds(next.Backlog); err != nil {
			return err
		}
	}
	if changed[partListen] {
		if err := loop.replaceFrontends(next.Frontends); err != nil {
			if changeBounds {
				err = errors.Join(err, loop.setBacklogBounds(present.Backlog))
			}
			return err
		}
		present.Frontends = next.Frontends
	}
	if changeBounds {
		present.Backlog = next.Backlog
	}
	return nil
}

// applyAddresses switches to changed addresses of discovery and of the notices' receiver. If the file's address has not
// changed, a variable that took precedence at the start still does.
func (loop *eventLoop) applyAddresses(next *Config, changed map[string]bool) {
	present := loop.config
	if changed[partDiscovery] {
		present.configuredDiscovery, present.Discovery = next.configuredDiscovery, next.configuredDiscovery
		loop.moveWatch()
	}
	if changed[partNotices] {
		present.noticeAddress = next.noticeAddress
		loop.notices.reconfigurable.Reconfigure(present.noticeAddress, 0)
	}
}

// moveWatch switches to the configuration's address of discovery, if the list comes from there. The open watch ends.
func (loop *eventLoop) moveWatch() {
	source := loop.discovery.reconfigurable
	if source == nil {
		return
	}
	if lastLine := source.LastLine(); !lastLine.IsZero() {
		loop.scheduler.ListCurrentUntil(loop.schedulerTime(lastLine))
	}
	source.Reconfigure(loop.config.Discovery, loop.discovery.revision)
	loop.scheduler.WatchMoved()
}

// applyStaticEndpoints replaces the configured endpoint list with that of the next configuration.
func (loop *eventLoop) applyStaticEndpoints(next *Config) {
	loop.config.StaticEndpoints = next.StaticEndpoints
	loop.discovery.static.list = *next.StaticEndpoints
	loop.discovery.static.list.Revision = loop.discovery.revision + 1
	loop.discovery.static.Watch(0)
}

// replaceFrontends replaces the open frontends with those of the next configuration. Frontends with an unchanged
// configuration are kept. Removed ones accept no new connections, and each of their callers is answered before its
// connection is closed. New frontends are opened first: if one cannot be opened, nothing has changed.
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
					"fronts: %s: the other keys of a front can change only together with its address, or with a restart", config.Name)
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
	if loop.operators.drainsClients {
		for _, f := range opened {
			f.Drain()
		}
	}
	loop.frontends.open, loop.frontends.draining = append(kept, opened...), append(loop.frontends.draining, removed...)
	return nil
}
