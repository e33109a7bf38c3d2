package policy

// What attempts, probes and other gateways tell of servers.

import (
	"math"
)

// Times are in seconds.
const (
	minVoteWeight = 0.2 // what one of many gateways' attempts weighs in what all tell of a server
	suspectScore  = 0.3 // attempts at servers so sick are tried elsewhere early
)

// outlierDetector holds how much this gateway trusts its own attempts.
type outlierDetector struct {
	voteWeight float64 // weight of one attempt here in what all tell of a server
}

// Times are in seconds.
const (
	healthCheckInterval        = 1.0  // load probes, where load reports come with probes alone
	maxConcurrencyPerEndpoint  = 64.0 // attempts out at one server, all gateways together, at most
	limitIncrease              = 0.1  // attempts that one fast answer adds to the limit
	limitDecrease              = 0.03 // share of one server's limit that a slow one takes off
	lowLatencyRatio            = 0.15 // and below this one it may grow
	minConcurrencyPerEndpoint  = 3.0  // and at least
	outlierTimeConstant        = 4.0  // how long a sick server is shunned
	errorScore                 = 0.5  // how sick one error makes it
	maxGossip                  = 64   // what servers were last heard of doing, to be told to other gateways
	lowUtilization             = 0.8  // cores less busy than this let a limit grow again
	ejectionPeriod             = 0.5  // a server that refuses connections is left alone so long, then probed
	consecutiveFailuresToEject = 2    // such failures in a row: one tells of a connection, not of its server
	singleFailureScore         = 0.1  // how sick that one makes it
	repeatedErrorScore         = 0.9  // the same for errors in a row: they come fast, and draw work on a server
	minRejectionBackoff        = 0.05 // a server that turns work away is left alone so long, twice as long each time
	maxRejectionBackoff        = 0.8  // and at most
	timeoutWeight              = 0.15 // how far one attempt that timed out moves a server's speed and limit
)

// item is news of a server: that it is sick for a class, or its use.
type healthUpdate struct {
	endpointHash uint16
	class        int
	value, at    float64
}

// sick tells how sure it was that a server leaves a class unanswered.
type outlierScore struct{ level, at float64 }

// spread keeps what is to be told to other gateways of servers, newest last.
func (g *Gateway) publish(n healthUpdate) {
	if g.gossip = append(g.gossip, n); len(g.gossip) > maxGossip {
		g.gossip = g.gossip[1:]
	}
}

// meanUtil is the use of the servers' cores, by what was reported of late.
func (g *Gateway) meanUtilization() (mean float64, fresh bool) {
	n := 0.0
	for _, s := range g.endpointOrder {
		if g.clock.now-s.utilizationAt < loadReportExpiry {
			n++
			mean += s.utilization
		}
	}
	return mean / max(n, 1), n > 0
}

// sickness tells how sure it is, from 0 to 1, that the server does not answer the class.
func (g *Gateway) outlierScore(s *endpoint, c *class) float64 {
	k := s.outlierScores[c.index]
	return k.level * math.Exp((k.at-g.clock.now)/outlierTimeConstant)
}

// report takes in a load report.
func (g *Gateway) recordLoadReport(s *endpoint, l *LoadReport) {
	if l != nil && l.Utilization >= 0 {
		s.utilization, s.utilizationAt = l.Utilization, g.clock.now
		g.publish(healthUpdate{s.hash, loadUpdate, l.Utilization, g.clock.now})
	}
}

// fails raises the sickness of a server for a class, or for all where c is nil.
func (g *Gateway) recordFailure(s *endpoint, c *class, by float64) {
	for _, k := range g.classes.ordered {
		if c == nil || k == c {
			x := g.outlierScore(s, k)
			s.outlierScores[k.index] = outlierScore{x + by*(1-x), g.clock.now}
			g.publish(healthUpdate{s.hash, k.index, s.outlierScores[k.index].level, g.clock.now})
		}
	}
}

// serves lowers the sickness of a server for a class. Where many gateways tell of it, each raises and
// lowers it by a part, so that it comes to the share of their attempts that get no answer: were one answer
// that is missing enough, all would leave an overloaded server at once, and overload the next.
func (g *Gateway) recordSuccess(s *endpoint, c *class) {
	s.lastSuccessAt[c.index], s.consecutiveErrors[c.index] = g.clock.now, 0
	x := g.outlierScore(s, c) * (1 - g.voteWeight)
	s.outlierScores[c.index] = outlierScore{x, g.clock.now}
	if x > singleFailureScore/2 {
		g.publish(healthUpdate{s.hash, c.index, x, g.clock.now})
	}
}

// takeNews takes in what another gateway tells of a server, and tells it on while it is new.
func (g *Gateway) mergeGossip(n healthUpdate) {
	s := g.endpointsByHash[n.endpointHash]
	if s == nil || s.StartedAt > n.at {
		return
	}
	if n.class == loadUpdate {
		if n.at < s.utilizationAt+minGossipInterval {
			return
		}
		s.utilization, s.utilizationAt = n.value, n.at
	} else if n.class < len(s.outlierScores) {
		k := &s.outlierScores[n.class]
		if n.at < k.at+minGossipInterval || n.at < s.lastSuccessAt[n.class] {
			return
		}
		*k = outlierScore{n.value, n.at}
	}
	g.publish(n)
}

// learn takes from an attempt's end what it tells of the server.
func (g *Gateway) recordOutcome(r *request, a *attempt, o Outcome) {
	s, c := a.endpoint, r.class
	tells := o.Status == OK || o.Status == Timeout && g.outlierScore(s, c) < suspectScore // of the others too
	slow := min(o.Elapsed/c.meanLatency, 4)
	switch o.Status {
	case OK:
		g.completedWork += c.meanLatency
		g.recordSuccess(s, c)
		s.consecutiveConnectFailures, s.consecutiveRejections = 0, 0
		c.recordLatency(o.Elapsed)
		s.latencyFactor = max(s.latencyFactor+0.1*(slow-s.latencyFactor), 0.3)
	case Timeout:
		g.recordFailure(s, c, min(errorScore, g.voteWeight))
		s.latencyFactor += timeoutWeight * max(4-s.latencyFactor, 0) // slow, if not silent
	case Error:
		s.consecutiveErrors[c.index]++
		by := errorScore
		if s.consecutiveErrors[c.index] >= consecutiveFailuresToEject {
			by = repeatedErrorScore
		}
		g.recordFailure(s, c, by)
	case ConnectFailed, Reset:
		s.consecutiveConnectFailures++
		if s.consecutiveConnectFailures < consecutiveFailuresToEject {
			g.recordFailure(s, nil, singleFailureScore)
			break
		}
		g.recordFailure(s, nil, errorScore)
		s.ejectedUntil = g.clock.now + ejectionPeriod*(1+g.rng.Float64())
	case Rejected:
		s.consecutiveRejections++
		s.ejectedUntil = max(s.ejectedUntil, g.clock.now+min(minRejectionBackoff*math.Exp2(float64(s.consecutiveRejections-1)), maxRejectionBackoff))
	}
	if !tells {
		return
	}
	g.meanAttemptDuration += 0.1 * (o.Elapsed - g.meanAttemptDuration)
	g.latencyRatio += 0.1 * (o.Elapsed/c.LatencyObjective - g.latencyRatio)
	util, fresh := g.meanUtilization()
	easy := fresh && util < lowUtilization                           // cores are free: not driven too hard
	step := min(1, initialConcurrencyPerEndpoint/g.concurrencyLimit) // one answer tells of one server among those in use
	if o.Status == Timeout && !easy {
		g.concurrencyLimit *= 1 - timeoutWeight*step
	}
	if g.latencyRatio > highLatencyRatio && !easy {
		g.concurrencyLimit *= 1 - limitDecrease*step
	} else if (easy || g.latencyRatio < lowLatencyRatio) && float64(g.inFlight)+1.5 >= g.concurrencyLimit {
		g.concurrencyLimit += limitIncrease * min(1, g.concurrencyLimit)
	}
	g.concurrencyLimit = min(max(g.concurrencyLimit, minConcurrencyPerEndpoint*g.endpointsPerGateway), maxConcurrencyPerEndpoint*g.endpointsPerGateway)
}

// probe asks servers for their load where that comes with probes alone: the longest unheard of
// first, and no more than a share of the requests. A cold server has no room for the probes of all gateways.
func (g *Gateway) healthCheckNext() {
	if !g.settings.HealthChecks || !g.settings.LoadReportInHealthCheck || g.healthCheckCredits < 1 {
		return
	}
	next, oldest := (*endpoint)(nil), g.clock.now-healthCheckInterval
	for _, s := range g.endpointOrder {
		if at := max(s.healthCheckedAt, s.utilizationAt); s.State == InService && at <= oldest && g.warmUpFraction(s) == 1 {
			next, oldest = s, at
		}
	}
	if next != nil {
		next.healthCheckedAt = g.clock.now
		g.healthCheckCredits--
		g.actions.HealthCheck(next.ID)
	}
}

// Probed takes the end of a probe.
func (g *Gateway) HandleHealthCheck(now float64, p HealthCheckResult) {
	g.clock.advance(now)
	s := g.endpoints[p.Endpoint]
	if s == nil {
		return
	}
	g.recordLoadReport(s, p.Load)
	if p.Status == Timeout || p.Status == ConnectFailed {
		g.recordFailure(s, nil, errorScore)
	}
	g.dispatchQueued()
}
