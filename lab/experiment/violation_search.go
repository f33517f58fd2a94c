package experiment

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"spanflow/internal/config"
	"spanflow/lab/scenario"
	"spanflow/lab/sim"
)

// ViolationSearch is the resumable state of a search for broken rules: the seeds tried, what their scenarios covered,
// and the violations found. The same seeds give the same state on any number of cores.
type ViolationSearch struct {
	Version    int              `toml:"version"`
	Tried      [][2]uint64      `toml:"tried"` // ranges of seeds (first and last, inclusive), in ascending order
	Scenarios  int              `toml:"scenes" json:"Scenes"`
	Kinds      map[string]int   `toml:"kinds"` // number of scenarios by kind of fault
	Pairs      map[string]int   `toml:"pairs"` // number of scenarios in which faults of two kinds overlapped in time
	Sizes      map[string]int   `toml:"sizes"` // number of scenarios by class of forwarders and of endpoints
	Violations []FoundViolation `toml:"breaks" json:"Breaks"`
	Unshrunk   int              `toml:"unshrunk"` // number of violations beyond maxViolations, which are not kept
}

// FoundViolation is a rule that was broken in a generated scenario.
type FoundViolation struct {
	Seed   uint64 `toml:"seed"`
	Rule   string `toml:"rule"`
	Reason string `toml:"what" json:"What"`
	File   string `toml:"file"`  // name of the file with the shrunk scenario
	Steps  int    `toml:"steps"` // number of steps by which the scenario was shrunk
}

const (
	searchVersion = 1
	searchBatch   = 32  // scenarios between two saves
	maxViolations = 100 // violations kept; a scheduler with more must be fixed before the search continues
	searchFile    = "hunt.toml"
	scenarioFile  = ".toml"
)

// OpenViolationSearch reads the search stored in a folder, or starts a new one, and creates the folder if necessary. It
// returns an error if the folder is not writable.
func OpenViolationSearch(folder string) (*ViolationSearch, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	v := &ViolationSearch{Version: searchVersion}
	path := filepath.Join(folder, searchFile)
	text, err := os.ReadFile(path)
	switch {
	case err == nil:
		if err := v.parse(path, text); err != nil {
			return nil, err
		}
	case !os.IsNotExist(err):
		return nil, err
	}
	for _, counts := range []*map[string]int{&v.Kinds, &v.Pairs, &v.Sizes} {
		if *counts == nil {
			*counts = map[string]int{}
		}
	}
	return v, v.Save(folder) // fails before the search starts if the folder is not writable
}

// parse decodes and checks the text of a search file; path is used in errors only.
func (v *ViolationSearch) parse(path string, text []byte) error {
	v.Version = 0
	if err := config.Decode(path, text, v); err != nil {
		return err
	}
	if problems := v.check(); len(problems) > 0 {
		for i := range problems {
			problems[i].File = path
		}
		return problems
	}
	return nil
}

func (v *ViolationSearch) check() (problems config.Problems) {
	if v.Version != searchVersion {
		problems = append(problems, config.Problem{Field: "version", Reason: fmt.Sprintf("%d is not supported; this program needs %d", v.Version, searchVersion)})
	}
	seeds := uint64(0)
	for i, t := range v.Tried {
		if t[0] > t[1] || i > 0 && t[0] <= v.Tried[i-1][1] {
			problems = append(problems,
				config.Problem{Field: fmt.Sprintf("tried[%d]", i), Reason: "seeds are out of order: the file was modified or truncated"})
		}
		seeds += t[1] - t[0] + 1
	}
	if len(problems) == 0 && seeds != uint64(v.Scenarios) {
		problems = append(problems,
			config.Problem{Field: "scenes", Reason: fmt.Sprintf("%d does not match the %d seeds tried: the file was modified or truncated", v.Scenarios, seeds)})
	}
	return problems
}

// Save replaces the search file in the folder atomically.
func (v *ViolationSearch) Save(folder string) error {
	text, err := toml.Marshal(v)
	if err != nil {
		return err
	}
	path := filepath.Join(folder, searchFile)
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// nextUntried returns the first seed at or after from that was not tried.
func (v *ViolationSearch) nextUntried(from uint64) uint64 {
	for _, t := range v.Tried {
		if from >= t[0] && from <= t[1] {
			from = t[1] + 1
		}
	}
	return from
}

// markTried adds a range of seeds to those tried and merges adjacent ranges.
func (v *ViolationSearch) markTried(first, last uint64) {
	v.Tried = append(v.Tried, [2]uint64{first, last})
	slices.SortFunc(v.Tried, func(a, b [2]uint64) int { return cmp.Compare(a[0], b[0]) })
	joined := v.Tried[:1]
	for _, t := range v.Tried[1:] {
		if last := &joined[len(joined)-1]; t[0] <= last[1]+1 {
			last[1] = max(last[1], t[1])
		} else {
			joined = append(joined, t)
		}
	}
	v.Tried = joined
}

// Run simulates the scenarios of untried seeds, starting at from, until ctx is done or it has simulated limit
// scenarios. It saves its state to the folder after each batch. A batch that has started is always finished, so that an
// interrupted search keeps everything it found. progress is called after each batch; it may be nil.
func (v *ViolationSearch) Run(ctx context.Context, folder string, newPolicy sim.PolicyFactory, from uint64, limit int, progress func(*ViolationSearch)) error {
	for played := 0; played < limit && ctx.Err() == nil; {
		from = v.nextUntried(from)
		size := v.batchSize(from, limit-played)
		batch := playBatch(from, size, newPolicy)
		for i := range batch {
			v.countCoverage(batch[i].scenario)
		}
		for _, found := range v.violationsOf(batch) {
			if err := v.keep(folder, found, newPolicy); err != nil {
				return err
			}
		}
		slices.SortStableFunc(v.Violations, func(a, b FoundViolation) int { return cmp.Compare(a.Seed, b.Seed) })
		v.markTried(from, from+uint64(size)-1)
		v.Scenarios += size
		played += size
		if err := v.Save(folder); err != nil {
			return err
		}
		if progress != nil {
			progress(v)
		}
	}
	return nil
}

// batchSize returns the number of seeds in the batch that starts at from. The batch ends before the next seed that was
// already tried.
func (v *ViolationSearch) batchSize(from uint64, limit int) int {
	size := min(searchBatch, limit)
	for _, t := range v.Tried {
		if t[0] > from {
			size = min(size, int(t[0]-from))
		}
	}
	return size
}

// simulatedScenario is a generated scenario with its seed and result.
type simulatedScenario struct {
	scenario *scenario.Scenario
	seed     uint64
	result   *sim.Result
}

func playBatch(from uint64, size int, newPolicy sim.PolicyFactory) []simulatedScenario {
	batch := make([]simulatedScenario, size)
	parallel(size, func(i int) {
		seed := from + uint64(i)
		s := DrawWide(seed)
		batch[i] = simulatedScenario{s, seed, sim.Play(s, seed, newPolicy)}
	})
	return batch
}

// unshrunkViolation is a violation with the scenario in which it was found.
type unshrunkViolation struct {
	FoundViolation
	scenario *scenario.Scenario
}

// violationsOf returns the first violation of each rule in each scenario. Violations beyond maxViolations are only
// counted.
func (v *ViolationSearch) violationsOf(batch []simulatedScenario) []unshrunkViolation {
	var found []unshrunkViolation
	for _, s := range batch {
		rules := map[string]bool{}
		for _, violation := range s.result.Violations {
			rule := string(violation.Rule)
			if rules[rule] {
				continue
			}
			rules[rule] = true
			if len(v.Violations)+len(found) >= maxViolations {
				v.Unshrunk++
				continue
			}
			found = append(found, unshrunkViolation{FoundViolation{Seed: s.seed, Rule: rule}, s.scenario})
		}
	}
	return found
}

// keep shrinks a violation's scenario and writes it to the folder.
func (v *ViolationSearch) keep(folder string, found unshrunkViolation, newPolicy sim.PolicyFactory) error {
	f := found.FoundViolation
	shrunk, steps := shrink(found.scenario, func(s *scenario.Scenario) bool { return violationOf(s, f.Seed, f.Rule, newPolicy) != "" })
	f.Steps = steps
	f.Reason = violationOf(shrunk, f.Seed, f.Rule, newPolicy)
	name := fmt.Sprintf("hunted-%d-rule-%c", f.Seed, f.Rule[0])
	f.File = name + scenarioFile
	kept := *shrunk
	kept.Name, kept.Seed = name, f.Seed
	kept.About = "Found by a hunt, rule broken: " + f.Rule + ", " + f.Reason + "."
	text, err := toml.Marshal(&kept)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, f.File), text, 0o644); err != nil {
		return err
	}
	v.Violations = append(v.Violations, f)
	return nil
}

// violationOf returns the reason why a scenario breaks a rule, or "" if it keeps the rule.
func violationOf(s *scenario.Scenario, seed uint64, rule string, newPolicy sim.PolicyFactory) string {
	for _, violation := range sim.Play(s, seed, newPolicy).Violations {
		if string(violation.Rule) == rule {
			return violation.Reason
		}
	}
	return ""
}
