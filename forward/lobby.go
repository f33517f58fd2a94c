package forward

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"spanflow/internal/admin"
	"spanflow/internal/rota"
)

// While the new process of an upgrade waits for the folder, operators may call it already. What they ask of targets it
// lays into a tray in the folder: the process that owns the folder looks there and takes it up, and what is left when
// the folder changes hands its new owner takes up before its first decision.
const (
	trayDir   = "by-hand"
	trayEvery = 250 * time.Millisecond // a call out binds a second after it came
	// Calls that may lie in the tray. Guards against a caller that fills the folder while its owner hangs; hurts who
	// takes more targets out within a quarter of a second.
	trayMost  = 64
	trayBytes = 512 // of a call in the tray
)

// lobby answers the operators until this process owns the folder.
type lobby struct {
	mu     sync.Mutex
	folder string
	types  []string
	known  map[string]bool // targets of the order's list: those that may get calls, and others
	lame   bool
	left   bool // the owner answers from here on
}

func newLobby(o *Order) *lobby {
	l := &lobby{folder: o.Folder, types: o.Names.Types, known: map[string]bool{}}
	for _, t := range o.Known.Targets {
		if t.State != "left" {
			l.known[t.UID] = t.State == "active"
		}
	}
	return l
}

// leave ends the lobby: calls go to the owner from here on. It tells if clients are to be sent away.
func (l *lobby) leave() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left = true
	return l.lame
}

// answer answers a call, or tells that the owner is to.
func (l *lobby) answer(c admin.Call) (admin.Answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left {
		return admin.Answer{}, false
	}
	switch c.Do {
	case admin.LameOn, admin.LameOff:
		l.lame = c.Do == admin.LameOn
		return admin.Answer{Yes: true, Text: c.Do.String()}, true
	case admin.Vars:
		out, avoided := l.out(), 0
		for uid, active := range l.known {
			if active && out.Out(uid) {
				avoided++
			}
		}
		return admin.Answer{Yes: true, Text: (&figures{}).write(l.types, 0, len(l.known), avoided)}, true
	}
	_, listed := l.known[c.Name]
	verdict, change := call(l.out(), c, listed)
	if change != rota.Same {
		if err := lay(l.folder, c); err != nil {
			return notKept(err), true
		}
	}
	return answerOf(c, verdict), true
}

// out is the set of targets out by hand as it is once the tray is taken up.
func (l *lobby) out() *rota.Rota {
	r := rota.New(readOut(l.folder))
	for _, name := range trayNames(l.folder) {
		if c, err := trayCall(l.folder, name); err == nil {
			call(r, c, true)
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
func lay(folder string, c admin.Call) error {
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
	if c.Do == admin.Attach {
		word = "back"
	}
	return writeWhole(dir, fmt.Sprintf("%08d", next), word+" "+c.Name+"\n")
}

// trayCall reads a call in the tray.
func trayCall(folder, name string) (admin.Call, error) {
	f, err := os.Open(filepath.Join(folder, trayDir, name))
	if err != nil {
		return admin.Call{}, err
	}
	defer f.Close()
	text := make([]byte, trayBytes)
	n, _ := f.Read(text)
	word, uid, _ := strings.Cut(strings.TrimSuffix(string(text[:n]), "\n"), " ")
	switch {
	case uid == "":
	case word == "out":
		return admin.Call{Do: admin.Detach, Name: uid}, nil
	case word == "back":
		return admin.Call{Do: admin.Attach, Name: uid}, nil
	}
	return admin.Call{}, fmt.Errorf("%s/%s cannot be read as a call", trayDir, name)
}

// emptyTray carries out the calls in the tray and tells if there were any.
func (o *owner) emptyTray() bool {
	names := trayNames(o.order.Folder)
	for _, name := range names {
		c, err := trayCall(o.order.Folder, name)
		if err == nil {
			if a := o.byHand(c, true); !a.Yes { // not kept: it stays for the next look
				o.log.Error().Str("target", c.Name).Str("why", a.Text).Msg("call in the tray not taken up")
				return true
			}
		} else if o.mayLog("tray") {
			o.log.Error().Err(err).Msg("call in the tray passed over")
		}
		if err := os.Remove(filepath.Join(o.order.Folder, trayDir, name)); err != nil && o.mayLog("tray") {
			o.log.Error().Err(err).Msg("call in the tray not removed")
		}
	}
	return len(names) > 0
}
