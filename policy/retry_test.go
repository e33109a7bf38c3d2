package policy

import "testing"

func TestNonIdempotentAfterEachOutcome(t *testing.T) {
	for status, want := range map[AttemptStatus]string{
		Rejected:      "send",
		ConnectFailed: "send",
		NotSent:       "send",
		Error:         "fail",
		Timeout:       "fail",
		Reset:         "fail",
		Cancelled:     "fail",
	} {
		t.Run(status.String(), func(t *testing.T) {
			g, recorded := newTestGateway(t, withSingleGateway)
			sendRequest(g, 100, "p", "pay", "wide", 1)
			first := recorded.ofKind("send", "p")[0]
			recorded.actions = nil
			g.HandleOutcome(100.2, Outcome{RequestID: "p", Endpoint: first.endpoint, Status: status, Elapsed: 0.2})
			actionCount := len(recorded.ofKind("send", "p")) + len(recorded.ofKind("fail", "p")) + len(recorded.ofKind("reject", "p"))
			if len(recorded.ofKind(want, "p")) != 1 || actionCount != 1 {
				t.Errorf("want one %s, got %v", want, recorded.actions)
			}
		})
	}
}

func TestTimeoutAtTheDeadlineGivesAFinalReply(t *testing.T) {
	for class, want := range map[string]string{"read": "reject", "put": "fail", "any": "reject", "pay": "fail"} {
		g, recorded := newTestGateway(t, withSingleGateway)
		sendRequest(g, 100, "d", class, "wide", 1)
		first := recorded.ofKind("send", "d")[0].endpoint
		recorded.actions = nil
		g.HandleOutcome(104, Outcome{RequestID: "d", Endpoint: first, Status: Timeout, Elapsed: 4})
		if len(recorded.ofKind(want, "d")) != 1 || len(recorded.ofKind("send", "d")) != 0 {
			t.Errorf("%s: want one %s and no retry, got %v", class, want, recorded.actions)
		}
	}
}

// openRequest returns a request that arrived at time 100, with its objective at 101 and its deadline at 102.
// Its class has a mean latency of 0.1 s, and late replies earn half of the weight.
func openRequest(idempotency Idempotency) *request {
	settings := Class{
		LatencyObjective: 1, Timeout: 2, PriorityWeight: 1, LateWeightFraction: 0.5,
		Idempotency: idempotency, IdempotencyWindow: 0.5,
	}
	requestClass := newClass(settings, 0)
	requestClass.meanLatency = 0.1
	return &request{Request: Request{Deadline: 102}, class: requestClass, objectiveAt: 101, firstWriteBy: 100.9}
}

// executedOnce adds an attempt that was sent at time 100 and may have executed.
func executedOnce(r *request) {
	r.attempts = append(r.attempts, attempt{endpoint: &endpoint{}, sentAt: 100, done: true})
	r.recordStatus(&r.attempts[0], Reset)
}

func TestRetryPolicy(t *testing.T) {
	const lastSend = 101.5 - 0.1 // the last useful reply is at 101.5, halfway between objective and deadline
	for name, tc := range map[string]struct {
		idempotency Idempotency
		change      func(*request)
		now         Seconds
		want        bool
		reason      Reason // if want is false
	}{
		"first attempt":                    {Idempotent, func(*request) {}, 100, true, ""},
		"not written by firstWriteBy":      {Idempotent, func(*request) {}, 100.91, false, DeadlineTooClose},
		"written, after firstWriteBy":      {Idempotent, func(r *request) { r.written = true }, 100.91, true, ""},
		"too late for a useful reply":      {Idempotent, func(r *request) { r.written = true }, lastSend + 0.01, false, DeadlineTooClose},
		"all attempts made":                {Idempotent, func(r *request) { r.attempts = make([]attempt, 3) }, 100, false, AttemptsExhausted},
		"idempotent, executed":             {Idempotent, executedOnce, 101, true, ""},
		"not idempotent, executed":         {NonIdempotent, executedOnce, 100.1, false, AttemptsExhausted},
		"key, executed, within the window": {IdempotencyKey, executedOnce, 100.4, true, ""},
		"key, executed, window ended":      {IdempotencyKey, executedOnce, 100.46, false, AttemptsExhausted},
		"not idempotent, never executed":   {NonIdempotent, func(r *request) { r.attempts = make([]attempt, 1) }, 100.1, true, ""},
		"too late, with attempts to spare": {NonIdempotent, executedOnce, lastSend + 0.01, false, DeadlineTooClose},
	} {
		t.Run(name, func(t *testing.T) {
			policy := newRetryPolicy(Settings{MaxAttempts: 3}, &eventClock{now: tc.now})
			r := openRequest(tc.idempotency)
			tc.change(r)
			if got := policy.allowsAttempt(r); got != tc.want {
				t.Fatalf("allowsAttempt = %v, want %v", got, tc.want)
			}
			if reason := policy.rejectionReason(r); !tc.want && reason != tc.reason {
				t.Errorf("rejectionReason = %q, want %q", reason, tc.reason)
			}
		})
	}
}

func TestRetryPolicyAllowsOneAttemptAtLeast(t *testing.T) {
	policy := newRetryPolicy(Settings{MaxAttempts: 0}, &eventClock{now: 100})
	if !policy.allowsAttempt(openRequest(Idempotent)) {
		t.Error("no attempt is allowed")
	}
}
