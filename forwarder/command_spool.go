package forwarder

import (
	"time"

	"spanflow/internal/admin"
	"spanflow/internal/statefile"
)

// spoolPollInterval is how often the process that holds the folder looks for commands: a drain has to be in
// effect a second after the request.
const spoolPollInterval = 250 * time.Millisecond

// spoolLogKey is the kind of the rate-limited log lines on the spool, for mayLog.
const spoolLogKey = "command spool"

// runSpooledCommands carries out the commands in the spool, the oldest first, and reports whether there were any. One
// that cannot be carried out stays for the next look, with those behind it.
func (loop *eventLoop) runSpooledCommands() bool {
	spool := statefile.NewSpool(loop.config.Folder)
	names := spool.Names()
	for _, name := range names {
		command, err := spool.Read(name)
		if err == nil {
			if a := loop.drainOrRestore(requestOf(command), true); !a.OK {
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

// requestOf is the request that an operator's command stands for.
func requestOf(c statefile.Command) admin.Request {
	if c.Undrain {
		return admin.Request{Operation: admin.Attach, Name: c.Endpoint}
	}
	return admin.Request{Operation: admin.Detach, Name: c.Endpoint}
}
