package config

// Values of the enumerated fields of a configuration file.
const (
	protocolRESP = "resp"
	protocolHTTP = "http"

	wordIdempotent        = "replayable"
	wordIdempotentWithKey = "numbered"
	wordAtMostOnce        = "binding"

	groupAll  = "all"
	groupZone = "zone"

	decayLine   = "line"
	decayHalves = "halves"

	ratesNone  = "none"
	ratesExact = "exact"
	ratesRough = "rough"

	stateActive  = "active"
	stateLeaving = "leaving"

	formatJSON    = "json"
	formatConsole = "console"
)
