package forwarder

import (
	"time"

	"spanflow/internal/statefile"
)

// maxSavedLease is longer than any lease of the endpoint list.
const maxSavedLease = time.Minute

// saveLease passes the lease of the endpoint list to the state writer if the watch has fallen silent. The next process of
// this forwarder goes on with it: changes that were missed count as known to it, too.
func (loop *eventLoop) saveLease() {
	expiresIn, silent := loop.scheduler.ListLeaseAfterSilence()
	if !silent || loop.config.Folder == "" {
		return
	}
	loop.discovery.leaseSaved = true
	folder, expiresAt := loop.config.Folder, time.Now().Add(time.Duration(expiresIn*float64(time.Second)))
	loop.stateWriter.put(statefile.ListLeaseFile, func() error {
		return statefile.WriteListLease(folder, time.Until(expiresAt))
	})
}

// removeSavedLease removes the saved lease, as a list has arrived.
func (loop *eventLoop) removeSavedLease() {
	if !loop.discovery.leaseSaved {
		return
	}
	loop.discovery.leaseSaved = false
	folder := loop.config.Folder
	loop.stateWriter.put(statefile.ListLeaseFile, func() error { return statefile.RemoveListLease(folder) })
}

// restoreLease reads the lease that an earlier process saved. It does not apply to a list in the configuration.
func (loop *eventLoop) restoreLease() {
	expiresIn, found := statefile.ReadListLease(loop.config.Folder, maxSavedLease)
	if !found || loop.discovery.static != nil {
		return
	}
	loop.discovery.leaseSaved = true
	loop.scheduler.RestoreListLease(expiresIn.Seconds())
	loop.telemetry.log.Info().Float64("expires_in_s", expiresIn.Seconds()).Msg("lease of the endpoint list restored")
}

// logOverdueList logs when calls stop because the endpoint list is overdue, and when they begin again.
func (loop *eventLoop) logOverdueList() {
	state, log := &loop.discovery, &loop.telemetry.log
	overdue := loop.scheduler.ListOverdue()
	switch {
	case overdue && state.overdueSince.IsZero():
		state.overdueSince = time.Now()
		log.Warn().Int64("revision", state.revision).Int("held", len(loop.messages.byNumber)).
			Msg("endpoint list overdue, no call begins")
	case !overdue && !state.overdueSince.IsZero():
		log.Info().Dur("overdue_ms", time.Since(state.overdueSince)).Int64("revision", state.revision).
			Int("held", len(loop.messages.byNumber)).Msg("endpoint list received, calls begin again")
		state.overdueSince = time.Time{}
	}
	loop.telemetry.listOverdue.Store(overdue)
}
