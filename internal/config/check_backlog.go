package config

import (
	"path/filepath"
	"strings"
)

const (
	minBacklog         = 2 << 20 // bytes on disk: eight of the store's smallest segments
	backlogDescriptors = 10      // that the store keeps open: eight segments to read, one to write, the lock
	storedMessageBytes = 400     // on disk, of a message of some 300 bytes; for the check of memory alone
	indexEntryBytes    = 64      // of memory for each stored message, at most
	minLanes           = 16      // whose windows dispatch.room should hold
)

func (c *checker) checkBacklog() {
	if c.Backlog.Folder == "" {
		c.noteUnusedBacklog()
		return
	}
	c.checkBacklogFolder()
	c.checkBacklogBounds()
	c.checkBacklogLimits()
}

// noteUnusedBacklog notes the fields that are set though there is no store.
func (c *checker) noteUnusedBacklog() {
	for _, name := range []string{"disk", "destination", "tenant", "window", "behind"} {
		field := "backlog." + name
		if _, set := c.Sources[field]; set {
			c.note(field, "has no use, as backlog.folder is empty")
		}
	}
}

// checkBacklogFolder checks the store's folder against the write-ahead log's: each is locked by one process and
// counts its own files.
func (c *checker) checkBacklogFolder() {
	folder := c.BacklogFolder()
	c.checkFolder("backlog.folder", folder)
	if c.WriteAheadLog.Folder == "" {
		return
	}
	store, log := resolveLinks(folder), resolveLinks(c.WALFolder())
	switch {
	case store == log:
		c.problem("backlog.folder", "%s is ledger.folder too", folder)
	case within(store, log):
		c.problem("backlog.folder", "%s lies within ledger.folder, %s", folder, c.WALFolder())
	case within(log, store):
		c.problem("backlog.folder", "ledger.folder, %s, lies within %s", c.WALFolder(), folder)
	}
}

// resolveLinks returns a path without symbolic links, as far as it exists.
func resolveLinks(path string) string {
	path, err := filepath.Abs(path)
	if err != nil {
		return path
	}
	for missing := ""; ; {
		if target, err := filepath.EvalSymlinks(path); err == nil {
			return filepath.Join(target, missing)
		}
		up := filepath.Dir(path)
		if up == path {
			return filepath.Join(path, missing)
		}
		missing = filepath.Join(filepath.Base(path), missing)
		path = up
	}
}

// within reports whether a resolved path lies under another.
func within(path, folder string) bool {
	relative, err := filepath.Rel(folder, path)
	return err == nil && relative != "." && relative != ".." &&
		!strings.HasPrefix(relative, ".."+string(filepath.Separator))
}

// checkBacklogBounds checks the bounds against each other.
func (c *checker) checkBacklogBounds() {
	b := &c.Backlog
	if b.Disk < minBacklog {
		c.problem("backlog.disk", "%s is under the least, %s", b.Disk, Size(minBacklog))
	}
	for _, bound := range []struct {
		field string
		value Size
	}{{"backlog.destination", b.Destination}, {"backlog.tenant", b.Tenant}} {
		if bound.value > b.Disk {
			c.problem(bound.field, "%s is over backlog.disk, %s", bound.value, b.Disk)
		}
	}
	if b.Window < 1 {
		c.problem("backlog.window", "%d is under the least, 1", b.Window)
	}
	if b.Behind < b.Window {
		c.problem("backlog.behind", "%d is under backlog.window, %d", b.Behind, b.Window)
	}
}

// checkBacklogLimits checks the bounds against what the process may use.
func (c *checker) checkBacklogLimits() {
	b, capacity := &c.Backlog, c.Dispatch.QueueCapacity
	if minimum := minDescriptors + backlogDescriptors; c.Limits.Descriptors < minimum {
		c.problem("limits.descriptors", "%d is under the least with a backlog store, %d", c.Limits.Descriptors, minimum)
	}
	switch {
	case b.Window > capacity:
		c.problem("backlog.window", "%d is over dispatch.room, %d", b.Window, capacity)
	case b.Window > capacity/minLanes:
		c.note("backlog.window", "dispatch.room, %d, holds the windows of %d lanes only", capacity, capacity/max(b.Window, 1))
	}
	if b.Behind > capacity && b.Window <= capacity {
		c.note("backlog.behind", "%d is over dispatch.room, %d: a destination that answers never counts as far behind",
			b.Behind, capacity)
	}
	if index := b.Disk / storedMessageBytes * indexEntryBytes; index > c.Limits.Memory/2 {
		c.note("backlog.disk", "full of messages of 300 bytes it takes up to %dMB of memory for their places, "+
			"over half of limits.memory, %s", index/1e6, c.Limits.Memory)
	}
}
