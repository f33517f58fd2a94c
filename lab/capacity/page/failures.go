package page

import "spanflow/lab/capacity"

// failure is one row of the failures table: a kind of failure and its effects on the current system.
type failure struct {
	name, expected string
	lost           string // what is lost or delayed
	noticedBy      string
	within         string
	takesOver      string
}

func failuresTable(t *Target, results *capacity.Results) string {
	var rows [][]string
	for _, f := range []failure{
		processRestart(t, results),
		replacedMachine(t),
		failedMachine(t),
		failedRack(t),
		failedZone(t),
		regionsApart(t),
		discoveryDown(),
	} {
		rows = append(rows, []string{f.name, f.expected, f.lost, f.noticedBy, f.within, f.takesOver})
	}
	head := []string{"failure", "how often", "what is lost or waits", "who notices", "in what time", "what takes over"}
	return table(head, rows)
}

func processRestart(t *Target, results *capacity.Results) failure {
	return failure{
		name:     "restart of a process",
		expected: Count.Format(t.Failures.RestartsPerDay) + " a day, replaced machines among them",
		lost: "Nothing that was accepted: it is in the folder before the client is told so. What was in flight counts as may " +
			"have run: messages that must not run twice are failed, others are sent again while a repeat is known. Lost are " +
			"health, learned rates, retry-afters and connections; call times are kept for up to 4,096 destinations.",
		noticedBy: "its clients, by the end of their connections; the platform that starts it again",
		within:    "at once",
		takesOver: "the next process on the same folder; " + readyAfterRestart(t, results) +
			". New messages meanwhile go where clients take them.",
	}
}

// readyAfterRestart returns the time until a restarted forwarder with its full backlog is ready, from the restart
// curve.
func readyAfterRestart(t *Target, results *capacity.Results) string {
	curve := curveOf(results, restartCurve)
	if curve == nil {
		return "ready: not measured"
	}
	curve, unit := converted(curve)
	estimate := ValueAt(curve, t.Load.BacklogPerForwarder)
	if estimate.Basis == NotExtrapolated {
		return "ready: not extrapolated to the backlog"
	}
	return "ready with the backlog after " + unit.Format(estimate.Value)
}

func replacedMachine(t *Target) failure {
	return failure{
		name:     "replaced machine",
		expected: Count.Format(t.Failures.RestartsPerDay) + " a day, restarts among them",
		lost: "Nothing if the folder moves with the forwarder (docs/migration.md). Up to " +
			Count.Format(t.Load.BacklogPerForwarder) + " messages wait until it has; those whose time is up meanwhile get " +
			"a notice only then, too late by the platform's rule.",
		noticedBy: "the operators, who do it: lameduck, SIGTERM",
		within:    "3.2 s for what can be ended, then the copying of the folder",
		takesOver: "the process on the new machine. Moving what is held to another forwarder: " + missing,
	}
}

func failedMachine(t *Target) failure {
	heldPerDay := t.Failures.MachinesPerDay * t.Load.BacklogPerForwarder
	return failure{
		name:     "failed machine",
		expected: Count.Format(t.Failures.MachinesPerDay) + " a day: up to " + Count.Format(heldPerDay) + " messages held there",
		lost: "The " + Count.Format(t.Load.BacklogPerForwarder) + " messages held there are on its disk alone. If the disk comes back " +
			"they wait, and their time runs on; what the kernel had not written yet is lost even then, as the write-ahead log does not sync. " +
			"If it does not come back all are lost, with no notice to anybody: only clients that keep what they submitted can submit " +
			"it again.",
		noticedBy: "its clients, by silence; no forwarder knows of another. Discovery sees the watch end, and nothing acts on it.",
		within:    "the clients' own time limits; for the loss itself: never",
		takesOver: "for new messages any other forwarder that clients reach; for what is held nothing. A copy elsewhere: " + missing,
	}
}

func failedRack(t *Target) failure {
	return failure{
		name:     "rack or switch",
		expected: "up to " + Count.Format(t.Failures.RacksPerYear) + " a year",
		lost: "As many failed machines as the rack holds, with a return in most cases: what they hold waits for it. How many " +
			"forwarders share a rack, and whether control machines do, is unknown.",
		noticedBy: "as for a failed machine; calls to endpoints in the rack fail at every forwarder that has some",
		within:    "clients: their own limits; endpoints: a few calls each",
		takesOver: "other forwarders by the clients' choice, each still counting on its part of " + Count.Format(t.Fleet.Forwarders) +
			" forwarders (`dispatch.forwarders` is set at the start); other endpoints of a destination, if it has some",
	}
}

func failedZone(t *Target) failure {
	lost := t.Fleet.Forwarders / t.Fleet.Zones
	loadFactor := t.Fleet.Zones / (t.Fleet.Zones - 1)
	return failure{
		name:     "zone",
		expected: "up to " + Count.Format(t.Failures.ZonesPerYear) + " a year",
		lost: digits(lost) + " forwarders with up to " + Count.Format(lost*t.Load.BacklogPerForwarder) + " messages held, which wait for " +
			"the zone's return or are lost with its disks. The rest take " + digits(loadFactor) + " times their load if clients spread: " +
			PerSecond.Format(t.eventsPerForwarder()*loadFactor) + " each.",
		noticedBy: "clients; each forwarder for itself by its failing calls; watches within 3 s if discovery was there",
		within:    "a few calls to each endpoint; the list when discovery sends it",
		takesOver: "endpoints in other zones (`scheduler` prefers near ones, then takes others). No forwarder is told " +
			"that a zone is down: each finds out by destination. Shared knowledge of outages: " + missing,
	}
}

func regionsApart(t *Target) failure {
	apart := float64(t.Failures.RegionsApart)
	across := t.eventsPerForwarder() * apart / 2
	inRegion := t.Fleet.Forwarders / t.Fleet.Regions
	return failure{
		name:     "regions apart",
		expected: "now and then, for " + Seconds.Format(apart),
		lost: "Nothing is lost within the messages' lives. What goes across waits: if half of all did, " + Count.Format(across) +
			" more at each forwarder in the time; which share does is unknown. At 97% of `dispatch.room` the longest queues are cut " +
			"(rejected with a time to come back); beyond the write-ahead log's space all are refused, those for near destinations too.",
		noticedBy: "each forwarder by failing calls; those beyond the cut from discovery by the silent watch",
		within:    "a few calls to each destination; the watch: 3 s",
		takesOver: "the list as last known. Changes on the other side are not in force until the return. Up to " + digits(inRegion) +
			" forwarders go on asking, at random up to 1.3 times `dispatch.ask_within` after the last failure, and get what changed, " +
			"or the full list if discovery no longer knows",
	}
}

func discoveryDown() failure {
	return failure{
		name:     "discovery or a control machine away",
		expected: "unknown",
		lost: "No message that can be delivered. Changes wait. Notices of messages that were not delivered are sent again until one " +
			"is answered, and their messages stay held; by the platform's rule one without a notice 300 ms after its time is lost.",
		noticedBy: "every forwarder, by the end or the silence of the watch (`watch ended`)",
		within:    "at once, or 3 s",
		takesOver: "the list as last known. The control machines run nothing of this project: " + missing,
	}
}
