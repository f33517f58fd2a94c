package config

// Values of the form's fields that take one of a few words.
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
