package policy

import "fmt"

// validate tells what is wrong with the settings.
func validate(s Settings, act Actions) error {
	switch {
	case act == nil:
		return fmt.Errorf("no actions given")
	case s.GatewayCount < 1:
		return fmt.Errorf("gateways is %d, want 1 at least", s.GatewayCount)
	case s.Self < 0 || s.Self >= s.GatewayCount:
		return fmt.Errorf("me is %d, want 0 to %d", s.Self, s.GatewayCount-1)
	case len(s.Classes) == 0:
		return fmt.Errorf("no classes given")
	case len(s.Plans) > maxPlans:
		return fmt.Errorf("%d plans given, %d at most", len(s.Plans), maxPlans)
	}
	for _, c := range s.Classes {
		if !(c.Timeout > 0) || !(c.LatencyObjective > 0) || c.PriorityWeight < 0 {
			return fmt.Errorf("class %q: aim and deadline must be above 0 and worth not below", c.Name)
		}
	}
	for _, p := range s.Plans {
		if p.Rate < 0 || p.Rate > 0 && p.Burst <= 0 || p.MaxConcurrent < 0 || p.CeilingRate < 0 || p.WeightFactor < 0 {
			return fmt.Errorf("plan %q: rates must not be below 0, and a rate needs a burst", p.Name)
		}
	}
	return nil
}
