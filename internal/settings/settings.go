// Package settings parses the settings object, which both the simulator's ENLIST message and the configuration file of a
// gateway contain, and converts its keys and values to those of the code. No other package decodes these keys.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"reedlead/policy"
)

// Errors that Parse wraps.
var (
	ErrUnknownEffect = errors.New("unknown effect")
	ErrUnknownScope  = errors.New("unknown keyScope")
)

// wireSettings is the settings object as it is encoded in JSON. Unknown keys are ignored. The suffix S stands for
// seconds, PerS for "per second".
type wireSettings struct {
	Balancers  int    `json:"balancers"`
	Me         int    `json:"me"`
	MyZone     string `json:"myZone"`
	FamilyInfo struct {
		MaxUnits   int     `json:"maxUnits"`
		PeerIntake float64 `json:"peerIntake"`
		TruedUp    bool    `json:"truedUp"`
	} `json:"familyInfo"`
	Feedback struct {
		How string `json:"how"`
	} `json:"feedback"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		ConnIdleS      float64 `json:"connIdleS"`
		DialTimeoutS   float64 `json:"dialTimeoutS"`
		MostHeld       int     `json:"mostHeld"`
		MaxAttempts    int     `json:"maxAttempts"`
		MaxRetryAfterS float64 `json:"maxRetryAfterS"`
		ParallelTries  bool    `json:"parallelTries"`
		PeerMessages   bool    `json:"peerMessages"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retryAfter"`
	} `json:"limits"`
	Packages []struct {
		Name      string  `json:"name"`
		UnitsPerS float64 `json:"unitsPerS"`
		PeakUnits float64 `json:"peakUnits"`
		Parallel  int     `json:"parallel"`
		Pays      float64 `json:"pays"`
		HardRate  float64 `json:"hardRate"`
		CapDepth  float64 `json:"capDepth"`
	} `json:"packages"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
		Handshake float64 `json:"handshake"`
	} `json:"prices"`
	Profiles []struct {
		Name       string  `json:"name"`
		AimS       float64 `json:"aimS"`
		AimStretch float64 `json:"aimStretch"`
		DeadlineS  float64 `json:"deadlineS"`
		Effect     string  `json:"effect"`
		KeyScope   string  `json:"keyScope"`
		KeyTTLS    float64 `json:"keyTtlS"`
		LateWorth  float64 `json:"lateWorth"`
		Worth      float64 `json:"worth"`
	} `json:"profiles"`
	Rules struct {
		AnswerSlackS float64 `json:"answerSlackS"`
		ColdFrom     float64 `json:"coldFrom"`
		ColdS        float64 `json:"coldS"`
		FallMultiple float64 `json:"fallMultiple"`
		FallS        float64 `json:"fallS"`
		StopSendingS float64 `json:"stopSendingWithinS"`
	} `json:"rules"`
}

var idempotencyByEffect = map[string]policy.Idempotency{
	"retryable": policy.Idempotent,
	"dedup":     policy.IdempotencyKey,
	"fragile":   policy.NonIdempotent,
}

var dedupScopes = map[string]policy.DedupScope{
	"":     policy.DedupFleet,
	"all":  policy.DedupFleet,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
}

// loadInHealthChecks is the value of feedback.how if endpoints report their load only in replies to health checks.
const loadInHealthChecks = "probe"

// Settings holds policy.Settings, and further settings that only the network side uses.
type Settings struct {
	policy.Settings
	// DialTimeout is the maximum time to establish a connection to an endpoint.
	DialTimeout time.Duration
	// MaxOpenRequests is the maximum number of requests at this gateway that wait for their final reply or still have an
	// attempt in flight; 0 means no limit.
	MaxOpenRequests int
	// DrainGrace is the time within which a gateway must stop sending to an endpoint that starts to drain. Package
	// discovery derives its poll retry interval from it, or from a default if it is 0.
	DrainGrace time.Duration
}

// Parse parses the settings object. It does not check the ranges of values; policy.New checks policy.Settings.
func Parse(text []byte) (Settings, error) {
	var wire wireSettings
	if err := json.Unmarshal(text, &wire); err != nil {
		return Settings{}, err
	}
	s := Settings{
		Settings:        wire.policySettings(),
		DialTimeout:     seconds(wire.Limits.DialTimeoutS),
		MaxOpenRequests: wire.Limits.MostHeld,
		DrainGrace:      seconds(wire.Rules.StopSendingS),
	}
	var err error
	if s.Classes, err = wire.classes(); err != nil {
		return Settings{}, err
	}
	s.Plans = wire.plans()
	return s, nil
}

// seconds converts a number of seconds to a duration. A number out of range becomes the nearest duration, and a
// number above 0 becomes at least 1 ns, so that a positive setting does not become 0 or negative.
func seconds(s float64) time.Duration {
	nanoseconds := s * float64(time.Second)
	switch {
	case nanoseconds >= math.MaxInt64:
		return math.MaxInt64
	case nanoseconds <= math.MinInt64:
		return math.MinInt64
	case s > 0:
		return max(time.Duration(nanoseconds), time.Nanosecond)
	}
	return time.Duration(nanoseconds)
}

// policySettings translates the settings into policy.Settings, except for classes and plans.
func (w *wireSettings) policySettings() policy.Settings {
	return policy.Settings{
		Self:         w.Me,
		GatewayCount: w.Balancers,
		Zone:         w.MyZone,

		MaxRequestUnits:    w.FamilyInfo.MaxUnits,
		ActualUnitsInReply: w.FamilyInfo.TruedUp,
		PeerMessageRate:    w.FamilyInfo.PeerIntake,

		PeerMessages: w.Limits.PeerMessages,
		HealthChecks: w.Limits.Probes,
		Cancellation: w.Limits.Cancel,
		Hedging:      w.Limits.ParallelTries,
		RetryAfter:   w.Limits.RetryAfter,

		MaxAttempts:   w.Limits.MaxAttempts,
		MaxRetryAfter: w.Limits.MaxRetryAfterS,

		LoadReportInHealthCheck: w.Feedback.How == loadInHealthChecks,

		ReplySlack:           w.Rules.AnswerSlackS,
		SlowStartMinCapacity: w.Rules.ColdFrom,
		SlowStartDuration:    w.Rules.ColdS,
		OverloadMultiple:     w.Rules.FallMultiple,
		OverloadWindow:       w.Rules.FallS,

		CrossZoneCost:         w.Prices.CrossZone,
		HandshakeCost:         w.Prices.Handshake,
		ConnectionIdleTimeout: w.Limits.ConnIdleS,
	}
}

// classes translates the profiles into classes. It returns an error if a profile has an unknown effect or key scope.
func (w *wireSettings) classes() ([]policy.Class, error) {
	var classes []policy.Class
	for _, p := range w.Profiles {
		idempotency, ok := idempotencyByEffect[p.Effect]
		if !ok {
			return nil, fmt.Errorf("class %s: %w %q", p.Name, ErrUnknownEffect, p.Effect)
		}
		scope, ok := dedupScopes[p.KeyScope]
		if !ok {
			return nil, fmt.Errorf("class %s: %w %q", p.Name, ErrUnknownScope, p.KeyScope)
		}
		classes = append(classes, policy.Class{
			Name:                     p.Name,
			LatencyObjective:         p.AimS,
			ObjectiveLatencyMultiple: p.AimStretch,
			Timeout:                  p.DeadlineS,
			PriorityWeight:           p.Worth,
			LateWeightFraction:       p.LateWorth,
			Idempotency:              idempotency,
			DedupScope:               scope,
			IdempotencyWindow:        p.KeyTTLS,
		})
	}
	return classes, nil
}

// plans translates the packages into plans.
func (w *wireSettings) plans() []policy.Plan {
	var plans []policy.Plan
	for _, p := range w.Packages {
		plans = append(plans, policy.Plan{
			Name:          p.Name,
			Rate:          p.UnitsPerS,
			Burst:         p.PeakUnits,
			MaxConcurrent: p.Parallel,
			WeightFactor:  p.Pays,
			CeilingRate:   p.HardRate,
			CeilingBurst:  p.CapDepth,
		})
	}
	return plans
}

// EmptyLoadReport is a load report without values. A negative value means that the endpoint did not report it.
var EmptyLoadReport = policy.LoadReport{
	InFlight: -1, Queued: -1, Utilization: -1, ServiceTimeMS: -1, ServedPerS: -1, FailedPerS: -1,
}

// SetLoadValue sets one value of a load report. name is the value's name on the wire; unknown names are ignored.
func SetLoadValue(report *policy.LoadReport, name string, value float64) {
	switch name {
	case "busy_reqs":
		report.InFlight = value
	case "pending":
		report.Queued = value
	case "cpu_share":
		report.Utilization = value
	case "svc_ms":
		report.ServiceTimeMS = value
	case "served_ps":
		report.ServedPerS = value
	case "failed_ps":
		report.FailedPerS = value
	}
}
