package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"spanflow/lab/capacity"
)

// SaveTrials merges trials into a file of results. A trial replaces the one with the same scenario and the same numbers
// of forwarders and destinations; everything else in the file stays. The file is created if it is missing, and is
// replaced atomically, so that it is never left half written.
func SaveTrials(path string, trials []capacity.FleetTrial) error {
	results, err := readResults(path)
	if err != nil {
		return err
	}
	for _, trial := range trials {
		results.Fleets = merge(results.Fleets, trial)
	}
	results.Machine, results.Date = Machine(runtime.NumCPU()), time.Now().Format(time.DateOnly)
	return writeResults(path, results)
}

func writeResults(path string, results capacity.Results) error {
	text, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return replaceFile(path, append(text, '\n'))
}

func readResults(path string) (capacity.Results, error) {
	results := capacity.Results{Curves: []capacity.Curve{}}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return results, nil
	}
	if err != nil {
		return results, err
	}
	if err := json.Unmarshal(text, &results); err != nil {
		return results, fmt.Errorf("%s: %w", path, err)
	}
	return results, nil
}

// merge replaces the trial with the same scenario and size, or appends the trial if there is none.
func merge(trials []capacity.FleetTrial, trial capacity.FleetTrial) []capacity.FleetTrial {
	for i, old := range trials {
		if old.Scenario == trial.Scenario && old.Forwarders == trial.Forwarders && old.Destinations == trial.Destinations {
			trials[i] = trial
			return trials
		}
	}
	return append(trials, trial)
}

func replaceFile(path string, text []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".results")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name())
	_, err = file.Write(text)
	if err = errors.Join(err, file.Chmod(0o644), file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), path)
}
