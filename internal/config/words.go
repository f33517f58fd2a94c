package config

// Words that fields of the form have.
const (
	protocolRESP = "resp"
	protocolHTTP = "http"

	wordIdempotent        = "replayable"
	wordIdempotentWithKey = "numbered"
	wordAtMostOnce        = "binding"

	groupAll  = "all"
	groupZone = "zone"

	lateLine   = "line"
	lateHalves = "halves"

	ratesNone  = "none"
	ratesExact = "exact"
	ratesRough = "rough"

	stateActive  = "active"
	stateLeaving = "leaving"

	formatJSON    = "json"
	formatConsole = "console"
)
