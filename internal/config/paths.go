package config

import "path/filepath"

// WALFolder returns the write-ahead log's folder, relative to the working directory or absolute.
func (l *Loaded) WALFolder() string { return l.resolve(l.WriteAheadLog.Folder) }

// BacklogFolder returns the backlog store's folder, relative to the working directory or absolute; empty if there is no
// store.
func (l *Loaded) BacklogFolder() string { return l.resolve(l.Backlog.Folder) }

// resolve converts a path relative to the configuration file to one relative to the working directory.
func (l *Loaded) resolve(path string) string {
	if path == "" || filepath.IsAbs(path) || l.Path == "" {
		return path
	}
	return filepath.Join(filepath.Dir(l.Path), path)
}
