package forwarder

import (
	"sync"

	"spanflow/internal/admin"
	"spanflow/internal/drains"
	"spanflow/internal/statefile"
)

// standby answers operators while the successor in an upgrade waits for the folder. It puts their requests to drain or
// restore endpoints into the command spool, for the process that holds the folder to carry out. When this process takes
// over the folder, it carries out the remaining commands before its first decision.
type standby struct {
	mu        sync.Mutex
	folder    string
	types     []string
	active    map[string]bool // whether each endpoint of the last known list may get calls, by uid
	takenOver bool            // the event loop answers instead
}

func newStandby(c *Config) *standby {
	s := &standby{folder: c.Folder, types: c.Names.Types, active: map[string]bool{}}
	for _, t := range c.LastEndpoints.Endpoints {
		if t.State != stateLeft {
			s.active[t.UID] = t.State == stateActive
		}
	}
	return s
}

// takeOver ends the standby, so that later requests are passed to the event loop.
func (s *standby) takeOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenOver = true
}

// answer answers a request. It returns false if the event loop is to answer.
func (s *standby) answer(c admin.Request) (admin.Response, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.takenOver {
		return admin.Response{}, false
	}
	switch c.Operation {
	case admin.ClientDrainOn:
		return s.put(c, statefile.Command{ClientDrain: statefile.ClientDrainOn}), true
	case admin.ClientDrainOff:
		return s.put(c, statefile.Command{ClientDrain: statefile.ClientDrainOff}), true
	case admin.Vars:
		return admin.Response{OK: true, Text: s.figures()}, true
	}
	return s.drain(c), true
}

func (s *standby) figures() string {
	drained, outOfRotation := s.drains(), 0
	for uid, active := range s.active {
		if active && drained.Drained(uid) {
			outOfRotation++
		}
	}
	return (&figures{}).write(s.types, gaugeFigures{listed: len(s.active), outOfRotation: outOfRotation, drainsClients: s.drainsClients()})
}

// put puts the command of a request into the command spool.
func (s *standby) put(c admin.Request, command statefile.Command) admin.Response {
	if err := statefile.NewSpool(s.folder).Put(command); err != nil {
		return notSaved(err)
	}
	return admin.Response{OK: true, Text: c.Operation.String()}
}

// drainsClients reports whether lame duck mode will be on once the commands in the spool are carried out.
func (s *standby) drainsClients() bool {
	on, spool := statefile.ReadClientDrain(s.folder), statefile.NewSpool(s.folder)
	for _, name := range spool.Names() {
		if command, err := spool.Read(name); err == nil && command.ClientDrain != statefile.ClientDrainUnchanged {
			on = command.ClientDrain == statefile.ClientDrainOn
		}
	}
	return on
}

// drain puts a command to drain or restore an endpoint into the command spool.
func (s *standby) drain(c admin.Request) admin.Response {
	_, listed := s.active[c.Name]
	verdict, change := applyDrainRequest(s.drains(), c, listed)
	unlisted := verdict == drains.Unknown // perhaps not by the list of the process that holds the folder
	if change != drains.Unchanged || unlisted {
		command := statefile.Command{Endpoint: c.Name, Undrain: c.Operation == admin.Attach, Unlisted: unlisted}
		if response := s.put(c, command); !response.OK {
			return response
		}
	}
	return drainResponse(c, verdict)
}

// drains returns the set of drained endpoints as it will be once the commands in the spool are carried out.
func (s *standby) drains() *drains.Set {
	set := drains.New(statefile.ReadDrains(s.folder))
	spool := statefile.NewSpool(s.folder)
	for _, name := range spool.Names() {
		if command, err := spool.Read(name); err == nil && command.ClientDrain == statefile.ClientDrainUnchanged && !command.Unlisted {
			applyDrainRequest(set, requestOf(command), true)
		}
	}
	return set
}
