package config

import (
	"os"
	"path/filepath"
	"strings"

	"spanflow/forwarder"
)

const (
	leastBacklog       = 2 << 20 // bytes on disk: eight of the store's smallest segments
	backlogDescriptors = 10      // that the store keeps open: eight segments to read, one to write, the lock
	bytesStored        = 400     // on disk, of a message of some 300 bytes; for the check of memory alone
	bytesIndexed       = 64      // of memory for each stored message, at most
	fewLanes           = 16      // whose windows dispatch.room should hold
)

// BacklogFolder is the backlog store's folder, as seen from where the program runs; empty if there is no store.
func (l *Loaded) BacklogFolder() string { return l.beside(l.Backlog.Folder) }

// backlogOrder is the order for the store, nil if there is none.
func (l *Loaded) backlogOrder() (*forwarder.Backlog, error) {
	b := &l.Backlog
	if b.Folder == "" {
		return nil, nil
	}
	folder, err := filepath.Abs(l.BacklogFolder())
	if err != nil {
		return nil, err
	}
	return &forwarder.Backlog{Folder: folder, Bytes: int64(b.Disk), DestinationBytes: int64(b.Destination), TenantBytes: int64(b.Tenant),
		Window: b.Window, Behind: b.Behind}, nil
}

func (c *checker) backlog() {
	if c.Backlog.Folder == "" {
		c.backlogUnused()
		return
	}
	c.backlogFolder()
	c.backlogBounds()
	c.backlogLimits()
}

// backlogUnused tells which fields are set though there is no store.
func (c *checker) backlogUnused() {
	for _, name := range []string{"disk", "destination", "tenant", "window", "behind"} {
		field := "backlog." + name
		if _, told := c.Sources[field]; told {
			c.note(field, "has no use, as backlog.folder is empty")
		}
	}
}

// backlogFolder holds the store's folder against the write-ahead log's: each has one owner and counts its own files.
func (c *checker) backlogFolder() {
	folder := c.BacklogFolder()
	if info, err := os.Stat(folder); err == nil && !info.IsDir() {
		c.bad("backlog.folder", "%s is not a folder", folder)
	} else if err != nil && !os.IsNotExist(err) {
		c.bad("backlog.folder", "%s", unwrapped(err))
	}
	if c.Ledger.Folder == "" {
		return
	}
	store, ledger := resolved(folder), resolved(c.Folder())
	switch {
	case store == ledger:
		c.bad("backlog.folder", "%s is ledger.folder too", folder)
	case within(store, ledger):
		c.bad("backlog.folder", "%s lies within ledger.folder, %s", folder, c.Folder())
	case within(ledger, store):
		c.bad("backlog.folder", "ledger.folder, %s, lies within %s", c.Folder(), folder)
	}
}

// resolved is a path without symbolic links, as far as it is there.
func resolved(path string) string {
	path, err := filepath.Abs(path)
	if err != nil {
		return path
	}
	for missing := ""; ; {
		if real, err := filepath.EvalSymlinks(path); err == nil {
			return filepath.Join(real, missing)
		}
		up := filepath.Dir(path)
		if up == path {
			return filepath.Join(path, missing)
		}
		missing = filepath.Join(filepath.Base(path), missing)
		path = up
	}
}

// within tells if a resolved path lies under another.
func within(path, folder string) bool {
	relative, err := filepath.Rel(folder, path)
	return err == nil && relative != "." && relative != ".." && !strings.HasPrefix(relative, ".."+string(filepath.Separator))
}

// backlogBounds holds the bounds against each other.
func (c *checker) backlogBounds() {
	b := &c.Backlog
	if b.Disk < leastBacklog {
		c.bad("backlog.disk", "%s is under the least, %s", b.Disk, Size(leastBacklog))
	}
	for _, bound := range []struct {
		field string
		value Size
	}{{"backlog.destination", b.Destination}, {"backlog.tenant", b.Tenant}} {
		if bound.value > b.Disk {
			c.bad(bound.field, "%s is over backlog.disk, %s", bound.value, b.Disk)
		}
	}
	if b.Window < 1 {
		c.bad("backlog.window", "%d is under the least, 1", b.Window)
	}
	if b.Behind < b.Window {
		c.bad("backlog.behind", "%d is under backlog.window, %d", b.Behind, b.Window)
	}
}

// backlogLimits holds the bounds against what the process may use.
func (c *checker) backlogLimits() {
	b, room := &c.Backlog, c.Dispatch.QueueCapacity
	if least := leastDescriptors + backlogDescriptors; c.Limits.Descriptors < least {
		c.bad("limits.descriptors", "%d is under the least with a backlog store, %d", c.Limits.Descriptors, least)
	}
	switch {
	case b.Window > room:
		c.bad("backlog.window", "%d is over dispatch.room, %d", b.Window, room)
	case b.Window > room/fewLanes:
		c.note("backlog.window", "dispatch.room, %d, holds the windows of %d lanes only", room, room/max(b.Window, 1))
	}
	if b.Behind > room && b.Window <= room {
		c.note("backlog.behind", "%d is over dispatch.room, %d: a destination that answers never counts as far behind", b.Behind, room)
	}
	if index := b.Disk / bytesStored * bytesIndexed; index > c.Limits.Memory/2 {
		c.note("backlog.disk", "full of messages of 300 bytes it takes up to %dMB of memory for their places, over half of limits.memory, %s",
			index/1e6, c.Limits.Memory)
	}
}
