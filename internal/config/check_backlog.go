package config

import (
	"path/filepath"
	"strings"
)

const (
	minBacklog         = 2 << 20 // bytes on disk; eight segments of the smallest size
	backlogDescriptors = 10      // kept open by the store: eight segments to read, one to write and the lock file
	storedMessageBytes = 400     // on disk, for a message of about 300 bytes; used only to check memory
	indexEntryBytes    = 64      // upper bound of the memory for each stored message
	minLanes           = 16      // minimum number of lanes whose windows dispatch.room should hold
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

// noteUnusedBacklog adds a note for each field that is set although no store is configured.
func (c *checker) noteUnusedBacklog() {
	for _, name := range []string{"disk", "destination", "tenant", "window", "behind"} {
		field := "backlog." + name
		if _, set := c.Sources[field]; set {
			c.note(field, "has no effect, because backlog.folder is empty")
		}
	}
}

// checkBacklogFolder checks that the store and the write-ahead log have separate folders, because each locks its folder
// and counts only its own files.
func (c *checker) checkBacklogFolder() {
	folder := c.BacklogFolder()
	c.checkFolder("backlog.folder", folder)
	if c.WriteAheadLog.Folder == "" {
		return
	}
	store, log := resolveLinks(folder), resolveLinks(c.WALFolder())
	switch {
	case store == log:
		c.problem("backlog.folder", "%s is also ledger.folder", folder)
	case within(store, log):
		c.problem("backlog.folder", "%s lies within ledger.folder, %s", folder, c.WALFolder())
	case within(log, store):
		c.problem("backlog.folder", "ledger.folder, %s, lies within %s", c.WALFolder(), folder)
	}
}

// resolveLinks returns an absolute path with the symbolic links resolved in the part of it that exists.
func resolveLinks(path string) string {
	path, err := filepath.Abs(path)
	if err != nil {
		return path
	}
	for missing := ""; ; {
		if target, err := filepath.EvalSymlinks(path); err == nil {
			return filepath.Join(target, missing)
		}
		dir := filepath.Dir(path)
		if dir == path {
			return filepath.Join(path, missing)
		}
		missing = filepath.Join(filepath.Base(path), missing)
		path = dir
	}
}

// within reports whether a resolved path lies under another.
func within(path, folder string) bool {
	relative, err := filepath.Rel(folder, path)
	return err == nil && relative != "." && relative != ".." &&
		!strings.HasPrefix(relative, ".."+string(filepath.Separator))
}

// checkBacklogBounds checks the store's bounds against each other.
func (c *checker) checkBacklogBounds() {
	b := &c.Backlog
	if b.Disk < minBacklog {
		c.problem("backlog.disk", "%s is below the minimum, %s", b.Disk, Size(minBacklog))
	}
	for _, bound := range []struct {
		field string
		value Size
	}{{"backlog.destination", b.Destination}, {"backlog.tenant", b.Tenant}} {
		if bound.value > b.Disk {
			c.problem(bound.field, "%s exceeds backlog.disk, %s", bound.value, b.Disk)
		}
	}
	if b.Window < 1 {
		c.problem("backlog.window", "%d is below the minimum, 1", b.Window)
	}
	if b.Behind < b.Window {
		c.problem("backlog.behind", "%d is less than backlog.window, %d", b.Behind, b.Window)
	}
}

// checkBacklogLimits checks the store's bounds against the limits of the process and the scheduler.
func (c *checker) checkBacklogLimits() {
	b, capacity := &c.Backlog, c.Dispatch.QueueCapacity
	if minimum := minDescriptors + backlogDescriptors; c.Limits.Descriptors < minimum {
		c.problem("limits.descriptors", "%d is below the minimum with a backlog store, %d", c.Limits.Descriptors, minimum)
	}
	switch {
	case b.Window > capacity:
		c.problem("backlog.window", "%d exceeds dispatch.room, %d", b.Window, capacity)
	case b.Window > capacity/minLanes:
		c.note("backlog.window", "dispatch.room, %d, holds the windows of only %d lanes", capacity, capacity/max(b.Window, 1))
	}
	if b.Behind > capacity && b.Window <= capacity {
		c.note("backlog.behind", "%d exceeds dispatch.room, %d, so a destination that answers never counts as far behind",
			b.Behind, capacity)
	}
	if index := b.Disk / storedMessageBytes * indexEntryBytes; index > c.Limits.Memory/2 {
		c.note("backlog.disk", "when full of 300-byte messages, its index takes up to %dMB of memory, "+
			"more than half of limits.memory, %s", index/1e6, c.Limits.Memory)
	}
}
