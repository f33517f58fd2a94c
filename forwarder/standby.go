package forwarder

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"spanflow/internal/admin"
	"spanflow/internal/drains"
)

// While the new process of an upgrade waits for the folder, operators may call it already. Reason they ask of endpoints
// it lays into a tray in the folder: the process that owns the folder looks there and takes it up, and what is left
// when the folder changes hands its new owner takes up before its first decision.
const (
	trayDir   = "by-hand"
	trayEvery = 250 * time.Millisecond // a call out binds a second after it came
	// Calls that may lie in the tray. Guards against a caller that fills the folder while its owner hangs; hurts who
	// takes more endpoints out within a quarter of a second.
	trayMost  = 64
	trayBytes = 512 // of a call in the tray
)

// standby answers the operators until this process owns the folder.
type standby struct {
	mu     sync.Mutex
	folder string
	types  []string
	known  map[string]bool // endpoints of the order's list: those that may get calls, and others
	lame   bool
	left   bool // the event loop answers from here on
}

func newStandby(o *Config) *standby {
	s := &standby{folder: o.Folder, types: o.Names.Types, known: map[string]bool{}}
	for _, t := range o.LastEndpoints.Endpoints {
		if t.State != "left" {
			s.known[t.UID] = t.State == "active"
		}
	}
	return s
}

// leave ends the standby: calls go to the event loop from here on. It tells if clients are to be sent away.
func (s *standby) leave() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	return s.lame
}

// answer answers a call, or tells that the event loop is to.
func (s *standby) answer(c admin.Request) (admin.Response, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left {
		return admin.Response{}, false
	}
	switch c.Operation {
	case admin.LameDuckOn, admin.LameDuckOff:
		s.lame = c.Operation == admin.LameDuckOn
		return admin.Response{OK: true, Text: c.Operation.String()}, true
	case admin.Figures:
		out, avoided := s.out(), 0
		for uid, active := range s.known {
			if active && out.Drained(uid) {
				avoided++
			}
		}
		return admin.Response{OK: true, Text: (&figures{}).write(s.types, gaugeFigures{listed: len(s.known), avoided: avoided})}, true
	}
	_, listed := s.known[c.Name]
	verdict, change := applyDrainRequest(s.out(), c, listed)
	if change != drains.Unchanged {
		if err := lay(s.folder, c); err != nil {
			return notSaved(err), true
		}
	}
	return drainResponse(c, verdict), true
}

// out is the set of endpoints out by hand as it is once the tray is taken up.
func (s *standby) out() *drains.Set {
	r := drains.New(readOut(s.folder))
	for _, name := range trayNames(s.folder) {
		if c, err := trayCall(s.folder, name); err == nil {
			applyDrainRequest(r, c, true)
		}
	}
	return r
}

// trayNames are the files of the calls in the tray, in their order.
func trayNames(folder string) []string {
	entries, _ := os.ReadDir(filepath.Join(folder, trayDir))
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && !strings.HasSuffix(e.Name(), ".new") {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names
}

// lay puts a call into the tray.
func lay(folder string, c admin.Request) error {
	names := trayNames(folder)
	if len(names) >= trayMost {
		return fmt.Errorf("%d calls wait to be taken up", len(names))
	}
	next := 1
	if len(names) > 0 {
		if _, err := fmt.Sscanf(names[len(names)-1], "%d", &next); err != nil {
			return err
		}
		next++
	}
	dir := filepath.Join(folder, trayDir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	word := "out"
	if c.Operation == admin.Attach {
		word = "back"
	}
	return writeWhole(dir, fmt.Sprintf("%08d", next), word+" "+c.Name+"\n")
}

// trayCall reads a call in the tray.
func trayCall(folder, name string) (admin.Request, error) {
	f, err := os.Open(filepath.Join(folder, trayDir, name))
	if err != nil {
		return admin.Request{}, err
	}
	defer f.Close()
	text := make([]byte, trayBytes)
	n, _ := f.Read(text)
	word, uid, _ := strings.Cut(strings.TrimSuffix(string(text[:n]), "\n"), " ")
	switch {
	case uid == "":
	case word == "out":
		return admin.Request{Operation: admin.Detach, Name: uid}, nil
	case word == "back":
		return admin.Request{Operation: admin.Attach, Name: uid}, nil
	}
	return admin.Request{}, fmt.Errorf("%s/%s cannot be read as a call", trayDir, name)
}

// emptyTray carries out the calls in the tray and tells if there were any.
func (loop *eventLoop) runSpooledCommands() bool {
	names := trayNames(loop.config.Folder)
	for _, name := range names {
		c, err := trayCall(loop.config.Folder, name)
		if err == nil {
			if a := loop.drainOrRestore(c, true); !a.OK { // not kept: it stays for the next look
				loop.telemetry.log.Error().Str("target", c.Name).Str("why", a.Text).Msg("call in the tray not taken up")
				return true
			}
		} else if loop.telemetry.mayLog("tray") {
			loop.telemetry.log.Error().Err(err).Msg("call in the tray passed over")
		}
		if err := os.Remove(filepath.Join(loop.config.Folder, trayDir, name)); err != nil && loop.telemetry.mayLog("tray") {
			loop.telemetry.log.Error().Err(err).Msg("call in the tray not removed")
		}
	}
	return len(names) > 0
}
