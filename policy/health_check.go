package policy

// healthChecker holds the budget of health checks.
type healthChecker struct {
	healthCheckCredits float64 // that may be sent
}
