package config

import "path/filepath"

// Folder is the write-ahead log's folder, as seen from where the program runs.
func (l *Loaded) Folder() string { return l.resolve(l.Ledger.Folder) }

// BacklogFolder is the backlog store's folder, as seen from where the program runs; empty: there is no store.
func (l *Loaded) BacklogFolder() string { return l.resolve(l.Backlog.Folder) }

// resolve makes a path that is relative to the configuration file one that is relative to where the program runs.
func (l *Loaded) resolve(path string) string {
	if path == "" || filepath.IsAbs(path) || l.Path == "" {
		return path
	}
	return filepath.Join(filepath.Dir(l.Path), path)
}
