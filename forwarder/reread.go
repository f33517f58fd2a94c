package forwarder

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
)

// ReloadBehavior tells when a changed part of an order is taken up.
type ReloadBehavior uint8

const (
	OnReload  ReloadBehavior = iota // by a running forwarder, when it reads its order again
	OnRestart                       // at the next start
)

func (c ReloadBehavior) String() string { return [...]string{"reload", "restart"}[c] }

// ConfigPart is a part of an order as far as a change of it goes. The reload goes by ConfigParts, and so does what the commands
// tell of it.
type ConfigPart struct {
	Name string
	Keys []string // of the configuration, whole sections or single keys
	When ReloadBehavior
	of   func(o *Config) any
}

// ConfigParts are all parts of an order. Two of them are taken up at once only where the order's form has them so (DiscoveryMovable):
// the platform's form changes nothing but discovery.
var ConfigParts = []ConfigPart{
	{"name", []string{"name"}, OnRestart, func(o *Config) any { return o.Name }},
	{"listen", []string{"fronts"}, OnReload, func(o *Config) any { return o.Frontends }},
	{"notices", []string{"discovery.notices"}, OnReload, func(o *Config) any { return o.toldNotices }},
	{"discovery", []string{"discovery"}, OnReload, func(o *Config) any { return o.told }},
	{"targets", []string{"targets"}, OnReload, func(o *Config) any { return o.StaticEndpoints }},
	{"log", []string{"log"}, OnReload, func(o *Config) any { return o.Log }},
	{"admin", []string{"admin"}, OnRestart, func(o *Config) any { return o.Admin }},
	{"metrics", []string{"metrics"}, OnRestart, func(o *Config) any { return [2]string{o.Metrics, o.TokenFile} }},
	{"seed", []string{"seed"}, OnRestart, func(o *Config) any {
		if o.DiscoveryMovable && !o.RandomSeed { // the platform's is another at each start
			return o.Seed
		}
		return o.RandomSeed
	}},
	{"state", []string{"ledger.folder"}, OnRestart, func(o *Config) any { return o.Folder }},
	{"backlog", []string{"backlog.disk", "backlog.destination", "backlog.tenant", "backlog.window", "backlog.behind"}, OnReload,
		func(o *Config) any { return o.Backlog.bounds() }},
	{"backlog_folder", []string{"backlog.folder"}, OnRestart, func(o *Config) any { return o.Backlog.folder() }},
	{"limits", []string{"limits", "ledger.disk"}, OnRestart, func(o *Config) any {
		return [4]float64{float64(o.MemoryMB), float64(o.Sockets), float64(o.DiskMB), o.Cores}
	}},
	{"settings", []string{"types", "kinds", "tenants", "zones", "zone", "dispatch", "outlets"}, OnRestart, func(o *Config) any {
		return []any{o.Scheduler, o.Names, o.Upstreams, o.KindUpstream}
	}},
}

// folder is where the store is; empty: there is none.
func (b *Backlog) folder() string {
	if b == nil {
		return ""
	}
	return b.Folder
}

// bounds is the order but for the folder: what a running forwarder takes up. Without a store there are none.
func (b *Backlog) bounds() Backlog {
	if b == nil {
		return Backlog{}
	}
	bounds := *b
	bounds.Folder = ""
	return bounds
}

// when tells when a change of the part is taken up, in an order at hand.
func (p *ConfigPart) when(o *Config) ReloadBehavior {
	if p.Name != "discovery" && !o.DiscoveryMovable {
		return OnRestart
	}
	return p.When
}

// reread takes up what may change while the forwarder runs, all of it or nothing. Reason an order that cannot be read or
// carried out says counts for nothing; what else it changes waits for the next start.
func (loop *eventLoop) reload() {
	if loop.config.Reload == nil {
		return
	}
	next, err := loop.config.Reload()
	if err == nil {
		err = loop.applyConfig(next)
	}
	if err != nil {
		loop.telemetry.figures.invalid++
		loop.telemetry.log.Error().Str("why", err.Error()).Msg("order not taken up")
		return
	}
	loop.telemetry.figures.accepted++
}

func (loop *eventLoop) applyConfig(next *Config) error {
	was := loop.config
	asked := *next // as read: what the event loop has added to its own terms does not count as a change
	now := *was
	now.Scheduler = loop.configuredScheduler
	changed := map[string]bool{}
	var later []string
	for _, p := range ConfigParts {
		if reflect.DeepEqual(p.of(&now), p.of(&asked)) {
			continue
		}
		if changed[p.Name] = p.when(was) == OnReload; !changed[p.Name] {
			later = append(later, p.Name)
		}
	}
	if changed["discovery"] && (was.told == "") != (next.told == "") {
		return fmt.Errorf("discovery: a list of the order's own and one that discovery tells take each other's place only at a start")
	}
	if changed["notices"] && (was.toldNotices == "") != (next.toldNotices == "") {
		return fmt.Errorf("discovery.notices: an address beside discovery's comes and goes only at a start")
	}
	resized := changed["backlog"] && loop.backlog != nil && next.Backlog != nil
	if resized { // this and the frontends first, as they can fail
		if err := loop.setBacklogBounds(next.Backlog); err != nil {
			return err
		}
	}
	if changed["listen"] {
		if err := loop.replaceFrontends(next.Frontends); err != nil {
			if resized {
				err = errors.Join(err, loop.setBacklogBounds(was.Backlog))
			}
			return err
		}
		was.Frontends = next.Frontends
	}
	if resized {
		was.Backlog = next.Backlog
	}
	if changed["discovery"] { // else a variable at the start may have gone before it
		was.told, was.Discovery = next.told, next.told
		if loop.discovery.movable != nil {
			loop.discovery.movable.Reconfigure(was.Discovery, loop.discovery.revision)
		}
	}
	if changed["notices"] {
		was.toldNotices = next.toldNotices
		loop.notices.movable.Reconfigure(was.toldNotices, 0)
	}
	if changed["targets"] && loop.discovery.static != nil {
		was.StaticEndpoints = next.StaticEndpoints
		loop.discovery.static.list = *next.StaticEndpoints
		loop.discovery.static.list.Revision = loop.discovery.revision + 1
		loop.discovery.static.Watch(0)
	}
	if changed["log"] {
		was.Log = next.Log
		loop.telemetry.log = was.Log.to(loop.telemetry.output, was.Name)
		loop.telemetry.trace = newTrace(was.Log)
	}
	e := loop.telemetry.log.Info().Str("discovery", was.Discovery).Strs("at_next_start", later)
	if changed["listen"] {
		e = e.Strs("listen", loop.frontendAddresses())
	}
	e.Msg("order taken up")
	return nil
}

// move puts other frontends in the place of those that there are. A frontend that stays as it was is left alone; one
// that goes takes no new connections, and each of its callers is answered before its connection ends. The new ones open
// first: if one cannot, nothing has changed.
func (loop *eventLoop) replaceFrontends(fronts []Frontend) error {
	most, err := shares(fronts, MaxClients(loop.config.Sockets))
	if err != nil {
		return err
	}
	var stay, leave []*listener
	for _, l := range loop.frontends.open {
		if slices.Contains(fronts, l.terms) {
			stay = append(stay, l)
		} else {
			leave = append(leave, l)
		}
	}
	var fresh []Frontend
	var bounds []int
	for i, f := range fronts {
		if slices.ContainsFunc(stay, func(l *listener) bool { return l.terms == f }) {
			continue
		}
		for _, l := range leave {
			if l.terms.Listen == f.Listen && l.Addr() == f.Listen {
				return fmt.Errorf("fronts: %s: what else is said of a front changes only with its address, or at a start", f.Name)
			}
		}
		fresh, bounds = append(fresh, f), append(bounds, most[i])
	}
	opened, err := loop.openFrontends(fresh, bounds)
	if err != nil {
		return err
	}
	for _, l := range leave {
		l.StopAccepting()
		l.Drain()
	}
	loop.frontends.open, loop.frontends.leaving = append(stay, opened...), append(loop.frontends.leaving, leave...)
	return nil
}

// gone ends the frontends that have gone from the order once their callers have.
func (loop *eventLoop) closeLeftFrontends() {
	kept := loop.frontends.leaving[:0]
	for _, l := range loop.frontends.leaving {
		if l.Clients() > 0 {
			kept = append(kept, l)
			continue
		}
		loop.closeFrontend(l)
	}
	loop.frontends.leaving = kept
}

func (loop *eventLoop) frontendAddresses() []string {
	var all []string
	for _, l := range loop.frontends.open {
		all = append(all, l.Addr())
	}
	return all
}
