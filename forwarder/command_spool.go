package forwarder

import (
	"net/http"
	"time"

	"spanflow/internal/admin"
	"spanflow/internal/statefile"
)

// spoolPollInterval is the time between checks for spooled commands by the process that holds the folder. A drain must
// take effect within a second of the request.
const spoolPollInterval = 250 * time.Millisecond

// spoolLogKey identifies the log lines about the spool for the rate limit of mayLog.
const spoolLogKey = "command spool"

// runSpooledCommands carries out the commands in the spool, oldest first, and reports whether there were any. A command
// that cannot be carried out stays in the spool until the next check, and so do those after it.
func (loop *eventLoop) runSpooledCommands() bool {
	spool := statefile.NewSpool(loop.config.Folder)
	names := spool.Names()
	for _, name := range names {
		command, err := spool.Read(name)
		if err == nil {
			if a := loop.runSpooledCommand(command); !a.OK {
				loop.telemetry.log.Error().Str("endpoint", command.Endpoint).Str("reason", a.Text).
					Msg("spooled command not carried out")
				return true
			}
		} else if loop.telemetry.mayLog(spoolLogKey) {
			loop.telemetry.log.Error().Err(err).Msg("spooled command ignored")
		}
		if err := spool.Remove(name); err != nil && loop.telemetry.mayLog(spoolLogKey) {
			loop.telemetry.log.Error().Err(err).Msg("spooled command not removed")
		}
	}
	return len(names) > 0
}

// runEarlierCommands carries out the commands that operators gave the other process of an upgrade before the request that
// is handled next. This process holds the folder, also while it hands over.
func (loop *eventLoop) runEarlierCommands() {
	if loop.config.upgradesInPlace() {
		loop.runSpooledCommands()
	}
}

// runSpooledCommand carries out one command.
func (loop *eventLoop) runSpooledCommand(command statefile.Command) admin.Response {
	if command.ClientDrain != statefile.ClientDrainUnchanged {
		return loop.switchClientDrain(requestOf(command).Operation)
	}
	request := requestOf(command)
	if !command.Unlisted {
		return loop.drainOrRestore(request, true)
	}
	t := loop.endpoints.byUID[command.Endpoint]
	response := loop.drainOrRestore(request, t != nil && t.isListed())
	response.OK = response.OK || response.Status == http.StatusNotFound // it is pending
	return response
}

// requestOf converts a spooled command to the operator's request.
func requestOf(c statefile.Command) admin.Request {
	switch {
	case c.ClientDrain == statefile.ClientDrainOn:
		return admin.Request{Operation: admin.ClientDrainOn}
	case c.ClientDrain == statefile.ClientDrainOff:
		return admin.Request{Operation: admin.ClientDrainOff}
	case c.Undrain:
		return admin.Request{Operation: admin.Attach, Name: c.Endpoint}
	}
	return admin.Request{Operation: admin.Detach, Name: c.Endpoint}
}
