// Package settings reads the settings object that the simulator's ENLIST message and the configuration file of a
// gateway both carry, and translates its words to those of the code. The words of the settings are used
// nowhere else.
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

// wireSettings is the settings object in the words of the wire. Unknown keys are skipped. Suffixes give the unit: S
// for seconds, PerS for a second.
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

// loadInHealthChecks is the value of feedback.how where endpoints report their load in replies to health checks alone.
const loadInHealthChecks = "probe"

// Settings are those of the decision module, and beside them what only the network side has to know.
type Settings struct {
	policy.Settings
	// DialTimeout bounds the time that a connection to an endpoint may take to be made.
	DialTimeout time.Duration
	// MaxOpenRequests bounds the requests without a final reply; 0 stands for no such bound.
	MaxOpenRequests int
	// DrainGrace is how long after it is told that an endpoint drains a gateway may still send to it; 0 stands
	// for not given.
	DrainGrace time.Duration
}

// Parse translates the settings. Whether their values make sense is for policy.New to say.
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

// seconds translates a number of seconds on the wire. A number that a duration can't hold gives the nearest duration of
// the same sign, so that no setting above 0 becomes 0 or negative.
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

// policySettings translates all but classes and plans.
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

// classes translates the profiles. The error names the first that can't be translated.
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

// plans translates the packages.
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

// EmptyLoadReport is a load report without any value.
var EmptyLoadReport = policy.LoadReport{
	InFlight: -1, Queued: -1, Utilization: -1, ServiceTimeMS: -1, ServedPerS: -1, FailedPerS: -1,
}

// SetLoadValue puts a value into a load report by its name on the wire; unknown names are ignored.
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
