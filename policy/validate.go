package policy

import (
	"errors"
	"fmt"
)

// Errors returned by New. All except ErrNoActions are wrapped in a SettingError.
var (
	// ErrNoActions means that the actions argument of New is nil.
	ErrNoActions = errors.New("policy: actions must not be nil")
	// ErrMissing means that a required setting is missing.
	ErrMissing = errors.New("missing")
	// ErrOutOfRange means that a setting is outside its allowed range, which may depend on other settings.
	ErrOutOfRange = errors.New("out of range")
)

// SettingError reports an invalid field of Settings. It wraps ErrMissing or ErrOutOfRange.
type SettingError struct {
	// Setting is the path of the field in Settings. Classes and plans are identified by name, as in
	// Plans["basic"].Burst.
	Setting string
	Err     error
}

// Error returns the path of the field and the reason why it is invalid.
func (e *SettingError) Error() string { return "policy: setting " + e.Setting + ": " + e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *SettingError) Unwrap() error { return e.Err }

// missing returns the error for a required setting that is missing.
func missing(setting, detail string) error {
	return &SettingError{Setting: setting, Err: fmt.Errorf("%w: %s", ErrMissing, detail)}
}

// outOfRange returns the error for a setting whose value is not in the range that want describes.
func outOfRange(setting string, value any, want string) error {
	return &SettingError{Setting: setting, Err: fmt.Errorf("%w: is %v, want %s", ErrOutOfRange, value, want)}
}

// validate returns the first error found in the settings, or nil.
func validate(settings Settings) error {
	switch {
	case settings.GatewayCount < 1:
		return outOfRange("GatewayCount", settings.GatewayCount, "at least 1")
	case settings.Self < 0 || settings.Self >= settings.GatewayCount:
		return outOfRange("Self", settings.Self, fmt.Sprintf("0 to %d", settings.GatewayCount-1))
	case len(settings.Classes) == 0:
		return missing("Classes", "no classes given")
	case settings.MaxCustomers < 0:
		return outOfRange("MaxCustomers", settings.MaxCustomers, "at least 0")
	case len(settings.Plans) > maxPlans:
		return outOfRange("Plans", len(settings.Plans), fmt.Sprintf("at most %d plans", maxPlans))
	}
	for _, classSettings := range settings.Classes {
		if err := classSettings.validate(); err != nil {
			return err
		}
	}
	for _, plan := range settings.Plans {
		if err := plan.validate(); err != nil {
			return err
		}
	}
	return nil
}

// isPositive reports whether the value is above 0. It returns false for NaN.
func isPositive(value float64) bool { return value > 0 }

func (c Class) validate() error {
	field := func(name string) string { return fmt.Sprintf("Classes[%q].%s", c.Name, name) }
	switch {
	case !isPositive(c.Timeout):
		return outOfRange(field("Timeout"), c.Timeout, "above 0")
	case !isPositive(c.LatencyObjective):
		return outOfRange(field("LatencyObjective"), c.LatencyObjective, "above 0")
	case c.PriorityWeight < 0:
		return outOfRange(field("PriorityWeight"), c.PriorityWeight, "at least 0")
	}
	return nil
}

func (p Plan) validate() error {
	field := func(name string) string { return fmt.Sprintf("Plans[%q].%s", p.Name, name) }
	switch {
	case p.Rate < 0:
		return outOfRange(field("Rate"), p.Rate, "at least 0")
	case p.Rate > 0 && p.Burst <= 0:
		return outOfRange(field("Burst"), p.Burst, "above 0 with a Rate")
	case p.MaxConcurrent < 0:
		return outOfRange(field("MaxConcurrent"), p.MaxConcurrent, "at least 0")
	case p.CeilingRate < 0:
		return outOfRange(field("CeilingRate"), p.CeilingRate, "at least 0")
	case p.WeightFactor < 0:
		return outOfRange(field("WeightFactor"), p.WeightFactor, "at least 0")
	}
	return nil
}
