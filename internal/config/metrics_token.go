package config

import (
	"bytes"
	"fmt"
	"io"
	"os"
)

const (
	maxTokenBytes     = 4 << 10
	othersPermissions = 0o007
)

// metricsToken reads the token that readers of the metrics must present, empty if none is required. It is kept in a
// separate file, never in a configuration, and is never printed.
func (l *Loaded) metricsToken() (string, error) {
	if l.Metrics.TokenFile == "" {
		return "", nil
	}
	f, err := os.Open(l.resolve(l.Metrics.TokenFile))
	if err != nil {
		return "", err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return "", err
	}
	if mode := info.Mode().Perm(); mode&othersPermissions != 0 {
		return "", fmt.Errorf("%s is accessible to other users (mode %o); remove their permissions with chmod o-rwx", f.Name(), mode)
	}
	text, err := io.ReadAll(io.LimitReader(f, maxTokenBytes))
	if err != nil {
		return "", err
	}
	if text = bytes.TrimSpace(text); len(text) == 0 {
		return "", fmt.Errorf("%s is empty", f.Name())
	}
	return string(text), nil
}
