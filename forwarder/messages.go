package forwarder

import (
	"container/list"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// paper is a message that is owed or was until just now.
type paper struct {
	transport.Message
	doc       *scheduler.Message
	typ       int
	lane      backlog.Lane
	inLane    *list.Element           // nil while no backlog store is used
	holder    transport.WaitingCaller // whom the final answer is for; nil: the teller
	came      time.Time
	traced    bool
	untried   bool // an earlier process took it on, and no call has begun yet
	withdrawn bool // its holder has gone: nothing is owed, though an attempt may be out
}

// paper makes the scheduler's message of an entry.
func (o *owner) paper(e *wal.Entry, typ int) *paper {
	p := &paper{
		Message: transport.Message{MessageID: e.Seq, ID: e.ID, IdempotencyKey: e.IdempotencyKey, Body: e.Body},
		typ:     typ,
		lane:    laneOf(e),
		came:    time.Now(),
		traced:  o.trace.picks(e.ID, e.Key),
	}
	p.doc = &scheduler.Message{ID: e.Seq, Tenant: e.Tenant, Key: e.Key, Dest: o.dest(e.Destination), Size: e.Size(), AnsweredByNotice: o.teller != nil}
	o.docs[e.Seq], o.byID[e.ID] = p, p
	return p
}

// withdraw ends a message whose caller waited for its final answer and has gone.
func (o *owner) withdraw(id string) {
	p := o.byID[id]
	if p == nil || p.holder == nil || p.withdrawn {
		return
	}
	o.counts.withdrawn++
	p.withdrawn = true
	o.f.Withdraw(p.doc)
	o.removeIfDone(p)
}

// recordDone records that nothing more is owed for a message.
func (o *owner) recordDone(p *paper) {
	if err := o.ledger.RecordDone(p.MessageID); err != nil {
		o.logLedgerError(err)
	}
}

// removeIfDone lets go of a message if nothing more can be heard of it.
func (o *owner) removeIfDone(p *paper) {
	if p.doc.Finished() {
		o.noLongerUntried(p, false)
		if p.withdrawn {
			o.recordDone(p)
		}
		o.leftMemory(p)
		delete(o.docs, p.MessageID)
		if o.byID[p.ID] == p {
			delete(o.byID, p.ID)
			o.recentIDs.add(p.ID)
		}
	}
}
