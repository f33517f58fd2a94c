package page

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"spanflow/lab/capacity"
)

// ReadResults reads and checks the file of measured results. Errors name the file and the invalid curve or trial.
func ReadResults(path string) (*capacity.Results, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseResults(path, text)
}

// ParseResults is like ReadResults for a text that is already in memory. path is only used in errors.
func ParseResults(path string, text []byte) (*capacity.Results, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	results := &capacity.Results{}
	if err := decoder.Decode(results); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := checkResults(results); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return results, nil
}

func checkResults(results *capacity.Results) error {
	if len(results.Curves)+len(results.Fleets) > 0 {
		if _, err := time.Parse(time.DateOnly, results.Date); err != nil {
			return fmt.Errorf("date: %q is not of the form YYYY-MM-DD", results.Date)
		}
		if results.Machine == "" {
			return errors.New("machine: is missing")
		}
	}
	known := map[curveRef]bool{}
	for i, curve := range results.Curves {
		ref := curveRef{curve.Role, curve.Quantity}
		if err := checkCurve(&curve); err != nil {
			return fmt.Errorf("curves[%d] (%s, %s): %w", i, curve.Role, curve.Quantity, err)
		}
		if known[ref] {
			return fmt.Errorf("curves[%d] (%s, %s): duplicate curve", i, curve.Role, curve.Quantity)
		}
		known[ref] = true
	}
	for i, trial := range results.Fleets {
		if err := checkTrial(&trial); err != nil {
			return fmt.Errorf("fleets[%d] (%s): %w", i, trial.Scenario, err)
		}
	}
	return nil
}

func checkCurve(curve *capacity.Curve) error {
	if curve.Role == "" || curve.Quantity == "" || curve.Unit == "" || curve.SizeUnit == "" {
		return errors.New("role, quantity, unit and size_unit must be set")
	}
	if len(curve.Points) == 0 {
		return errors.New("points: must not be empty")
	}
	last := 0.0
	for i, point := range curve.Points {
		if !(point.Size > last) || !finite(point.Value) || math.IsInf(point.Size, 0) {
			return fmt.Errorf("points[%d]: sizes must be positive and ascending, values must be numbers", i)
		}
		last = point.Size
	}
	fit := curve.Fit
	switch fit.Shape {
	case capacity.Flat, capacity.Linear, capacity.NotLinear:
	case capacity.Bends:
		if !(fit.BendAt > 0) {
			return fmt.Errorf("fit.bend_at: %v must be greater than 0", fit.BendAt)
		}
	default:
		return fmt.Errorf("fit.shape: %q is unknown", fit.Shape)
	}
	if !finite(fit.Intercept) || !finite(fit.Slope) || !finite(fit.Power) || !finite(fit.Residual) || fit.Residual < 0 {
		return errors.New("fit: intercept, slope, power and residual must be numbers, and the residual must not be negative")
	}
	return nil
}

func checkTrial(trial *capacity.FleetTrial) error {
	if trial.Scenario == "" {
		return errors.New("scenario: is missing")
	}
	if trial.Forwarders < 1 || trial.Destinations < 1 {
		return errors.New("forwarders and destinations must be greater than 0")
	}
	for _, value := range []float64{trial.InForce50, trial.InForce99, trial.InForceLast, trial.ForwarderBytesPerChange,
		trial.ForwarderCPUPerChange, trial.ForwarderIdleBytes, trial.ForwarderIdleCPU, trial.ForwarderMemory, trial.ServerBytes,
		trial.ServerCPU, float64(trial.Missed), float64(trial.Changes)} {
		if !finite(value) || value < 0 {
			return errors.New("a figure is negative or not a number")
		}
	}
	return nil
}

func finite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }

// curveRef is the key of a curve, which is unique in a results file.
type curveRef struct{ role, quantity string }

// curveOf returns a measured curve, or nil if it was not measured.
func curveOf(results *capacity.Results, ref curveRef) *capacity.Curve {
	for i := range results.Curves {
		if curve := &results.Curves[i]; curve.Role == ref.role && curve.Quantity == ref.quantity {
			return curve
		}
	}
	return nil
}
