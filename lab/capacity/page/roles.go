package page

import "spanflow/lab/capacity"

// role is a part of an installation, such as a forwarder's control, with its figures.
type role struct {
	table   string // name of the generated table
	title   string
	figures []*figure
}

// roles returns all roles of docs/CAPACITY.md, in the order of the page.
func roles() []role {
	return []role{
		{"message-path", "forwarder: message path", messagePath()},
		{"control", "forwarder: control", control()},
		{"control-machines", "the control machines", controlMachines()},
		{"discovery", "discovery", discovery()},
		{"destination", "a destination", destination()},
		{"client", "a client", client()},
		{"tools", "operators' tools", tools()},
	}
}

// The budgets of figures.
var (
	forwarderCores = &budget{name: "a forwarder's cores", value: func(t *Target) float64 { return t.Budget.Forwarder.Cores }}
	forwarderBytes = &budget{name: "a forwarder's memory", value: func(t *Target) float64 { return float64(t.Budget.Forwarder.Memory) }}
	readyWithin    = &budget{name: "ready within", value: func(t *Target) float64 { return float64(t.Budget.Forwarder.ReadyWithin) }}
	controlCores   = &budget{name: "control's share of a core", value: func(t *Target) float64 { return t.Budget.Control.CoreFraction }}
	controlMemory  = &budget{name: "control's memory", value: func(t *Target) float64 { return float64(t.Budget.Control.Memory) }}
	controlBytes   = &budget{name: "control's bytes", value: func(t *Target) float64 { return float64(t.Budget.Control.BytesPerSecond) }}
	inForceWithin  = &budget{name: "in force within", value: func(t *Target) float64 { return float64(t.Changes.InForceWithin) }}

	// watchLineBudget is a constant of the current code, not a limit that operators set.
	watchLineBudget = &budget{name: "the bound of `internal/discovery` on a line", value: func(*Target) float64 { return maxWatchLine }}
)

// maxWatchLine equals maxLineBytes of internal/discovery, in bytes. TestQuotedLimitsMatchTheSource compares them.
const maxWatchLine = 4 << 20

// restartCurve is the curve of the time until a restarted forwarder is ready, by the number of messages it holds.
var restartCurve = curveRef{"restart", "time to the forwarder's readiness"}

// The scenarios of fleet trials.
const (
	idleScenario     = "idle"
	changeScenario   = "change"
	fullListScenario = "whole list"
	thirdScenario    = "restart of a third"
	awayScenario     = "discovery away"
	zoneScenario     = "zone cut off"
)

// scenarioArgument maps a scenario to its argument of 'spanflow-lab capacity hollow'.
var scenarioArgument = map[string]string{idleScenario: "idle", changeScenario: "change", fullListScenario: "whole",
	thirdScenario: "restart", awayScenario: "outage", zoneScenario: "zone"}

// The functions below return the sizes at which curves are evaluated.
func destinationsAtTarget(t *Target) float64 { return t.Load.Destinations }
func heldAtTarget(t *Target) float64         { return t.Load.BacklogPerForwarder }
func forwardersAtTarget(t *Target) float64   { return t.Fleet.Forwarders }
func eventsAtTarget(t *Target) float64       { return t.eventsPerForwarder() }
func changesAtTarget(t *Target) float64      { return t.changesPerSecond() }
func bodyAtTarget(t *Target) float64         { return float64(t.Load.Body) }

const (
	allDestinations = "all destinations"
	allHeld         = "a forwarder's backlog"
	allForwarders   = "all forwarders"
	allEvents       = "a forwarder's events a second"
	allChanges      = "changes a second, as a mean of the day"
)

// targetFigure returns a figure that is computed from the target alone.
func targetFigure(name string, unit Unit, value func(*Target) float64, source, implementedBy string) *figure {
	return &figure{name: name, unit: unit, target: &targetUse{value, source}, implementedBy: implementedBy}
}

// curveFigure returns a figure that is computed from a curve at the target size.
func curveFigure(name string, unit Unit, use curveUse, limit *budget, implementedBy string) *figure {
	return &figure{name: name, unit: unit, curve: &use, budget: limit, implementedBy: implementedBy}
}

// trialFigure returns a figure that is computed from the largest trial of a scenario.
func trialFigure(name string, unit Unit, use trialUse, limit *budget, implementedBy string) *figure {
	return &figure{name: name, unit: unit, trial: &use, budget: limit, implementedBy: implementedBy}
}

// unmeasured returns a figure that is not measured.
func unmeasured(name, implementedBy string) *figure {
	return &figure{name: name, implementedBy: implementedBy}
}

func messagePath() []*figure {
	held := func(quantity string, unit Unit) curveUse {
		return curveUse{ref: curveRef{"held-message", quantity}, unit: unit, size: heldAtTarget, sizeName: allHeld}
	}
	beside := held("processor time of a fresh message beside them", Seconds)
	beside.factor, beside.factorName = eventsAtTarget, allEvents
	draining := held("processor time of each message that drains of them", Seconds)
	draining.factor, draining.factorName = func(t *Target) float64 { return t.Budget.Forwarder.DrainPerSecond }, "`budget.forwarder.drain_per_second`"
	storedBeside := storedCurve("backlog", "processor time of a fresh message beside stored ones", Seconds)
	storedBeside.factor, storedBeside.factorName = beside.factor, beside.factorName
	storedDraining := storedCurve("backlog-drain", "processor time of a message that drains", Seconds)
	storedDraining.factor, storedDraining.factorName = draining.factor, draining.factorName
	path := curveUse{ref: curveRef{"message-path", "processor time in a second"}, unit: Seconds, size: eventsAtTarget, sizeName: allEvents}
	bytesCarried := func(quantity string) curveUse {
		return curveUse{ref: curveRef{"message-path", quantity}, unit: Bytes, size: bodyAtTarget, sizeName: "the body of an event",
			factor: eventsAtTarget, factorName: allEvents}
	}
	return []*figure{
		targetFigure("state: messages held", Count, heldAtTarget, "`load.backlog_per_forwarder`",
			"`scheduler`, `forwarder`, `internal/wal`; beyond memory `internal/backlog`, where `[backlog]` is set"),
		targetFigure("messages accepted a second", PerSecond, eventsAtTarget,
			"`load.events_per_second` over `fleet.forwarders`, × `load.forwarder_skew`", "`internal/resp`, `internal/respserver`, `forwarder`"),
		targetFigure("messages a second for destinations that are down", PerSecond,
			func(t *Target) float64 { return t.eventsPerForwarder() * t.Load.DownFraction }, "× `load.down_share`", "`scheduler`, `internal/wal`"),
		curveFigure("bytes between clients and a forwarder", BytesPerSecond, bytesCarried("bytes between client and forwarder for a message"), nil,
			"`internal/resp`, `internal/respserver`"),
		curveFigure("bytes between a forwarder and destinations", BytesPerSecond, bytesCarried("bytes between forwarder and target for a message"), nil,
			"`internal/http1`, `internal/upstream`"),
		curveFigure("processor time, nothing held", Cores, path, forwarderCores, "`forwarder`, `scheduler`, `internal/wal`, `internal/upstream`"),
		curveFigure("processor time of fresh messages beside the backlog", Cores, beside, forwarderCores, "`scheduler`"),
		curveFigure("processor time of draining the backlog at the stated rate", Cores, draining, forwarderCores, "`scheduler`"),
		curveFigure("processor time of a backlog that is given up in one round", Seconds, held("processor time of giving all up in one turn", Seconds), nil, "`scheduler`"),
		curveFigure("memory of the backlog in the scheduler", Bytes, held("memory in the scheduler", Bytes), forwarderBytes, "`scheduler`"),
		curveFigure("memory of the backlog in the write-ahead log", Bytes, held("memory in the write-ahead log", Bytes), forwarderBytes, "`internal/wal`"),
		curveFigure("disk of the backlog", Bytes, held("bytes on disk", Bytes), nil, "`internal/wal`"),
		curveFigure("restart: time until ready", Seconds,
			curveUse{ref: restartCurve, unit: Seconds, size: heldAtTarget, sizeName: allHeld}, readyWithin,
			"`internal/wal`, `forwarder`"),
		curveFigure("memory of a forwarder that is ready with its backlog", Bytes,
			curveUse{ref: curveRef{"restart", "memory of the forwarder when ready"}, unit: Bytes, size: heldAtTarget, sizeName: allHeld},
			forwarderBytes, "`internal/wal`, `forwarder`, `scheduler`"),
		curveFigure("stored backlog: processor time of fresh messages beside it", Cores, storedBeside, forwarderCores, storedBy),
		curveFigure("stored backlog: processor time of draining it at the stated rate", Cores, storedDraining, forwarderCores, storedBy),
		curveFigure("stored backlog: disk", Bytes, storedCurve("backlog-restart", "bytes of the store on disk", Bytes), nil, "`internal/backlog`"),
		curveFigure("stored backlog: restart: time until ready", Seconds,
			storedCurve("backlog-restart", "time to the forwarder's readiness", Seconds), readyWithin, storedBy),
		curveFigure("stored backlog: memory of a forwarder that is ready with it", Bytes,
			storedCurve("backlog-restart", "memory of the forwarder when ready", Bytes), forwarderBytes, storedBy),
	}
}

// storedBy names the packages that implement a backlog in the store.
const storedBy = "`internal/backlog`, `forwarder`, where `[backlog]` is set"

// storedCurve evaluates a curve at the number of messages in the backlog store of one forwarder.
func storedCurve(role, quantity string, unit Unit) curveUse {
	return curveUse{ref: curveRef{role, quantity}, unit: unit, size: heldAtTarget, sizeName: allHeld}
}

func control() []*figure {
	known := func(quantity string, unit Unit) curveUse {
		return curveUse{ref: curveRef{"known-destination", quantity}, unit: unit, size: destinationsAtTarget, sizeName: allDestinations}
	}
	change := known("processor time of a list change", Seconds)
	change.factor, change.factorName = changesAtTarget, allChanges
	return []*figure{
		targetFigure("state: destinations known", Count, destinationsAtTarget, "`load.destinations`", "`scheduler`, `forwarder`, `internal/discovery`"),
		targetFigure("changes a second", PerSecond, changesAtTarget, "`changes.per_day`",
			"`internal/discovery` (changes of the list); of settings, without a restart: "+missing),
		curveFigure("memory of the known destinations in the scheduler", Bytes, known("memory in the scheduler", Bytes), controlMemory,
			"`scheduler`, `forwarder`; destinations that nobody sends to, kept cheaper: "+missing),
		curveFigure("memory of a forwarder without messages", Bytes, known("memory of the forwarder", Bytes), forwarderBytes, "`forwarder`"),
		curveFigure("processor time of a full list, in one round", Seconds, known("processor time of a whole list", Seconds), nil, "`scheduler`"),
		curveFigure("processor time of changes in the scheduler", Cores, change, controlCores, "`scheduler`"),
		curveFigure("start without a list: time until all is known", Seconds, known("time until a started forwarder knows all", Seconds), readyWithin,
			"`internal/config`, `forwarder`"),
		trialFigure("a change in force everywhere", Seconds, trialUse{changeScenario, lastInForce, "the last forwarder", fleetCoverage, nil}, inForceWithin,
			"`internal/discovery`, `forwarder`"),
		trialFigure("a change in force everywhere, a third restarted beside it", Seconds,
			trialUse{thirdScenario, lastInForce, "the last forwarder", fleetCoverage, nil}, inForceWithin, "`internal/discovery`, `forwarder`"),
		trialFigure("a change in force everywhere, after discovery was away", Seconds,
			trialUse{awayScenario, lastInForce, "the last forwarder, from the return", fleetCoverage, nil}, inForceWithin, "`internal/discovery`, `scheduler`"),
		trialFigure("a change in force everywhere, after a zone was cut off", Seconds,
			trialUse{zoneScenario, lastInForce, "the last forwarder, from the return", fleetCoverage, nil}, inForceWithin, "`internal/discovery`, `scheduler`"),
		trialFigure("processor time, idle", Cores, trialUse{idleScenario, idleCores, "of one forwarder", destinationCoverage, nil}, controlCores,
			"`internal/discovery`"),
		trialFigure("processor time of changes", Cores, trialUse{changeScenario, changeCores, "a change × " + allChanges, destinationCoverage, nil},
			controlCores, "`internal/discovery`, `forwarder`, `scheduler`"),
		trialFigure("bytes, idle", BytesPerSecond, trialUse{idleScenario, idleBytes, "of one forwarder", destinationCoverage, nil}, controlBytes,
			"`internal/discovery`"),
		trialFigure("bytes of changes", BytesPerSecond, trialUse{changeScenario, changeBytes, "a change × " + allChanges, destinationCoverage, nil},
			controlBytes, "`internal/discovery`"),
		trialFigure("memory of a hollow forwarder", Bytes, trialUse{idleScenario, hollowMemory, "live, of one forwarder", destinationCoverage, nil},
			controlMemory, "`forwarder`, `scheduler`"),
		trialFigure("memory of a hollow forwarder that got a full list", Bytes,
			trialUse{fullListScenario, hollowMemory, "live, of one forwarder", destinationCoverage, noneMissed}, controlMemory, "`forwarder`, `scheduler`"),
		trialFigure("a full list: bytes until it is in force", Bytes,
			trialUse{fullListScenario, bytesPerChange, perForwarderWithAttempts, destinationCoverage, noneMissed}, watchLineBudget,
			"`internal/discovery`; a list in parts: "+missing),
		trialFigure("a full list: processor time until it is in force", Seconds,
			trialUse{fullListScenario, secondsPerChange, perForwarderWithAttempts, destinationCoverage, noneMissed}, nil,
			"`internal/discovery`, `forwarder`, `scheduler`"),
		trialFigure("a full list in force at forwarders that start without one", Seconds,
			trialUse{fullListScenario, lastInForce, "the last forwarder", destinationCoverage, nil}, inForceWithin, "`internal/discovery`, `forwarder`"),
	}
}

// perForwarderWithAttempts describes the cost of a full list. It includes all attempts, as a forwarder opens another
// watch when one ends.
const perForwarderWithAttempts = "of one forwarder, with all attempts"

// never stands for the time until a change is in force if some forwarders missed it.
const never = 1e9 // seconds

func lastInForce(_ *Target, trial *capacity.FleetTrial) float64 {
	if trial.Missed > 0 {
		return never
	}
	return trial.InForceLast
}

func idleCores(_ *Target, trial *capacity.FleetTrial) float64    { return trial.ForwarderIdleCPU }
func idleBytes(_ *Target, trial *capacity.FleetTrial) float64    { return trial.ForwarderIdleBytes }
func hollowMemory(_ *Target, trial *capacity.FleetTrial) float64 { return trial.ForwarderMemory }
func bytesPerChange(_ *Target, trial *capacity.FleetTrial) float64 {
	return trial.ForwarderBytesPerChange
}
func secondsPerChange(_ *Target, trial *capacity.FleetTrial) float64 {
	return trial.ForwarderCPUPerChange
}

func changeCores(t *Target, trial *capacity.FleetTrial) float64 {
	return trial.ForwarderCPUPerChange * t.changesPerSecond()
}

func changeBytes(t *Target, trial *capacity.FleetTrial) float64 {
	return trial.ForwarderBytesPerChange * t.changesPerSecond()
}

func controlMachines() []*figure {
	return []*figure{
		targetFigure("state: destinations, each machine", Count, destinationsAtTarget, "`load.destinations`, if each has the whole", ""),
		targetFigure("forwarders, each machine", Count, func(t *Target) float64 { return t.Fleet.Forwarders / t.Fleet.ControlMachines },
			"`fleet.forwarders` over `fleet.control_machines`", ""),
		targetFigure("lines of changes a second, each machine", PerSecond, func(t *Target) float64 {
			return t.changesPerSecond() * t.Fleet.Forwarders / t.Fleet.ControlMachines
		}, "`changes.per_day` × forwarders", ""),
		targetFigure("bytes a second that control allows, each machine", BytesPerSecond, func(t *Target) float64 {
			return float64(t.Budget.Control.BytesPerSecond) * t.Fleet.Forwarders / t.Fleet.ControlMachines
		}, "`budget.control.bytes_per_second` × forwarders", ""),
		unmeasured("processor time", ""),
		unmeasured("memory", ""),
	}
}

func discovery() []*figure {
	perChange := func(whole func(*capacity.FleetTrial) float64) func(*Target, *capacity.FleetTrial) float64 {
		return func(_ *Target, trial *capacity.FleetTrial) float64 {
			return whole(trial) / float64(max(1, trial.Changes))
		}
	}
	server := trialUse{changeScenario, perChange(func(trial *capacity.FleetTrial) float64 { return trial.ServerCPU }),
		"the whole trial over its changes, idle time included", fleetCoverage, nil}
	sent := trialUse{changeScenario, perChange(func(trial *capacity.FleetTrial) float64 { return trial.ServerBytes }),
		"the whole trial over its changes, idle time included", fleetCoverage, nil}
	return []*figure{
		targetFigure("state: watches open", Count, forwardersAtTarget, "`fleet.forwarders`", "the operators' own service; here emulators alone"),
		targetFigure("changes sent a second", PerSecond, func(t *Target) float64 { return t.changesPerSecond() * t.Fleet.Forwarders },
			"`changes.per_day` × `fleet.forwarders`", "the operators' own service; here emulators alone"),
		trialFigure("processor time of a change", Seconds, server, nil, "the emulator of `lab/capacity/hollow`"),
		trialFigure("bytes of a change", Bytes, sent, nil, "the emulator of `lab/capacity/hollow`"),
		unmeasured("memory", "the operators' own service"),
	}
}

// outageCurve evaluates a curve of the role down-destination at the number of forwarders.
func outageCurve(quantity string) curveUse {
	return curveUse{ref: curveRef{"down-destination", quantity}, unit: Calls, size: forwardersAtTarget, sizeName: allForwarders}
}

func destination() []*figure {
	returnBudget := outageCurve("budget of the first second of its return")
	returnCalls := &budget{name: "a cold destination's", curve: &returnBudget}
	return []*figure{
		targetFigure("messages a second", PerSecond, func(t *Target) float64 { return t.eventsPerDestination() },
			"`load.events_per_second` over `load.destinations`, × `load.destination_skew`", "`scheduler`, `internal/upstream`"),
		targetFigure("bytes of bodies a second", BytesPerSecond, func(t *Target) float64 { return t.eventsPerDestination() * float64(t.Load.Body) },
			"× `load.body`", "`internal/upstream`"),
		targetFigure("state: messages that wait for one that is down", Count, func(t *Target) float64 { return t.Load.BacklogEvents / t.destinationsDown() },
			"`load.backlog_events` over `load.destinations` × `load.down_share`", "`scheduler`, `internal/wal`"),
		curveFigure("calls in a minute of an outage, all in vain", Calls, outageCurve("calls to a destination that is down for a minute"), nil,
			"`scheduler` at each forwarder; knowledge shared among forwarders: "+missing),
		curveFigure("calls in the first second of a return", Calls, outageCurve("calls in the first second of its return"), returnCalls,
			"`scheduler` at each forwarder; knowledge shared among forwarders: "+missing),
	}
}

func client() []*figure {
	idle := func(quantity string, unit Unit) curveUse {
		return curveUse{ref: curveRef{"idle-client", quantity}, unit: unit}
	}
	return []*figure{
		targetFigure("messages a second, all clients of a forwarder", PerSecond, eventsAtTarget, "as the message path", "`internal/resp`, `internal/respserver`"),
		curveFigure("memory of a forwarder with idle connections", Bytes, idle("memory of the forwarder", Bytes), forwarderBytes, "`internal/respserver`"),
		curveFigure("descriptors of a forwarder with idle connections", "descriptors", idle("descriptors of the forwarder", "descriptors"), nil, "`internal/respserver`"),
	}
}

func tools() []*figure {
	scrape := func(quantity string, unit Unit) curveUse {
		return curveUse{ref: curveRef{"scrape", quantity}, unit: unit, size: destinationsAtTarget, sizeName: allDestinations}
	}
	reload := func(quantity string) curveUse {
		return curveUse{ref: curveRef{"reload", quantity}, unit: Seconds, size: destinationsAtTarget, sizeName: allDestinations}
	}
	return []*figure{
		curveFigure("a scrape of the metrics: time", Seconds, scrape("time of a scrape", Seconds), nil, "`internal/metrics`"),
		curveFigure("a scrape of the metrics: processor time", Seconds, scrape("processor time of a scrape", Seconds), nil, "`internal/metrics`"),
		curveFigure("a scrape of the metrics: bytes", Bytes, scrape("bytes of a scrape", Bytes), nil, "`internal/metrics`"),
		curveFigure("a reload (SIGHUP): until a changed list of the configuration is in force", Seconds,
			reload("time until a changed list of the configuration is in force"), inForceWithin,
			"`internal/config`, `forwarder`"),
		curveFigure("a reload (SIGHUP): processor time of a changed list of the configuration", Seconds,
			reload("processor time of a reload that changes the configuration's list"), nil, "`internal/config`, `forwarder`"),
		curveFigure("a reload (SIGHUP): time, the list left to discovery", Seconds, reload("time of a reload that leaves the list to discovery"), nil,
			"`internal/config`, `forwarder`"),
		unmeasured("`spanflow ledger list` or `stat` of a whole backlog: time and memory (it reads the folder whole)", "`internal/wal`, `internal/commands`"),
	}
}
