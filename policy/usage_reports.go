package policy

// Reports between gateways: batched counts to owners, their answers, and what is done while one is missing.

import (
	"math"
	"slices"
)

// Times are in seconds.
const (
	minReportInterval    = 0.1 // least time between reports to one owner: "a few times a second"
	unboundedMessageRate = 1e6 // stands for no bound on it
)

// peerProtocol holds the exchange of usage reports with other gateways.
type peerProtocol struct {
	format             messageFormat // of messages
	incarnation        uint8
	sequence           uint16
	receivedMessages   float64 // messages a second that come in
	receivedMessagesAt float64
	reportTokens       float64 // reports that may be sent
	reportTokensAt     float64
	peersWithReports   []int       // peers with reports due
	awaitingReply      []*customer // with reports unanswered
	peers              []peer
}

// Times are in seconds.
const (
	reportFraction   = 0.45 // of peerIntake that a gateway's own reports may take
	grantTimeout     = 0.08 // how long a request waits for the owner's word before it is asked again
	reportTimeout    = 0.3  // the same for reports with no request waiting
	maxGrantAttempts = 4    // then the local window decides

	// ownerQueryFraction is the part of Settings.PeerMessageRate that members may use to ask again after the
	// owner has rejected their requests.
	ownerQueryFraction = 0.5
	// maxBackoffLoad bounds how many times that part the messages received count for.
	maxBackoffLoad = 3
)

// expect has the customer's reports looked after until they are answered.
func (g *Gateway) expectReply(c *customer) {
	if !c.awaitingReply {
		c.awaitingReply = true
		g.awaitingReply = append(g.awaitingReply, c)
	}
}

// newMessage returns an empty message with the next sequence number.
func (g *Gateway) newMessage() message {
	g.sequence++
	return message{incarnation: g.incarnation, sequence: g.sequence}
}

// due puts the customer on the list of what a peer is to be told.
func (g *Gateway) scheduleReport(c *customer, peer int) {
	p := &g.peers[peer]
	c.reportScheduled, c.reportTo = true, peer
	p.reports = append(p.reports, c)
	if !p.pending {
		p.pending = true
		g.peersWithReports = append(g.peersWithReports, peer)
	}
}

// markForReport marks the customer for the next report to its owner.
func (g *Gateway) markForReport(c *customer, urgent bool) {
	o := g.owner(c)
	if o == g.settings.Self {
		c.acknowledgedUnits = c.totalUnits
		return
	}
	if !c.reportScheduled || c.reportTo != o {
		g.scheduleReport(c, o)
	}
	g.peers[o].urgent = g.peers[o].urgent || urgent
}

// ask holds the request until its customer's owner has spoken.
func (g *Gateway) awaitOwner(r *request) {
	c := r.customer
	c.awaitingOwner, r.awaitingOwner = append(c.awaitingOwner, r), true
	if len(c.awaitingOwner) > 1 {
		return // it joins the next report
	}
	c.retransmissions, c.awaitingReplySince = 0, g.clock.now
	g.expectReply(c)
	g.markForReport(c, true)
	g.sendUsageReports()
}

// flush sends what is due to peers. All hear about as much as all send, so each gateway keeps its own
// reports to a share of what one takes in; answers come on top.
func (g *Gateway) sendUsageReports() {
	share := g.settings.PeerMessageRate * reportFraction
	g.reportTokens = min(max(2, share*minReportInterval*2), g.reportTokens+share*(g.clock.now-g.reportTokensAt))
	g.reportTokensAt = g.clock.now
	g.peersWithReports = slices.DeleteFunc(g.peersWithReports, func(i int) bool {
		p := &g.peers[i]
		if p.urgent && g.reportTokens >= 1 || g.reportTokens >= 2 && g.clock.now-p.lastSentAt >= minReportInterval {
			g.reportTokens--
			g.sendUsageReport(i)
		}
		p.pending = len(p.reports) > 0
		return !p.pending
	})
}

// tell reports to a peer as owner.
func (g *Gateway) sendUsageReport(i int) {
	p, n := &g.peers[i], 0
	m := g.newMessage()
	for _, c := range p.reports {
		if !g.format.recordsFit(len(m.records) + 1) {
			break
		}
		if n++; c.reportTo != i || !c.reportScheduled {
			continue
		}
		c.reportScheduled = false
		c.usedAt = g.clock.now
		remaining := c.remainingUnits(g.clock.now)
		r := usageRecord{
			Key: c.key, Plan: c.plan.index, Known: c.quota.known, CeilingPool: i == c.primaryOwner, Total: c.totalUnits,
			Remaining: remaining, Demand: c.demand.at(g.clock.now), InFlight: c.inFlight, Unacknowledged: c.unacknowledgedUnits(),
		}
		c.askedCount = len(c.awaitingOwner)
		for k, q := range c.awaitingOwner {
			if r.WantedUnits += q.Units; k == 0 {
				r.FirstWantedUnits, r.Cheapness = q.Units, q.priorityDeficit
			}
		}
		m.records = append(m.records, r)
		if c.awaitingReplySince == 0 || c.askedCount > 0 {
			c.awaitingReplySince = g.clock.now
		}
		g.expectReply(c)
	}
	p.reports = slices.Delete(p.reports, 0, n)
	p.lastSentAt, p.urgent = g.clock.now, p.urgent && len(p.reports) > 0
	g.sendMessage(i, m)
}

// post sends a message with records, and with what is new of servers in the room left.
func (g *Gateway) sendMessage(to int, m message) {
	if len(m.records) == 0 {
		return
	}
	m.updates = g.recent(g.format.updatesBeside(len(m.records)), g.clock.now)
	g.actions.SendToPeer(to, g.format.encode(m, g.clock.now))
}

// unanswered looks after reports without a reply: they are told again, after a second silence to the
// next on the ring, and after a third the request falls back to the local window. A gap in this
// gateway's own time is nobody's silence.
func (g *Gateway) retransmit() {
	for _, c := range g.awaitingReply {
		most := reportTimeout
		if len(c.awaitingOwner) > 0 {
			most = grantTimeout
		}
		if c.awaitingReplySince > 0 && g.clock.since(c.awaitingReplySince) > most {
			if !c.reportScheduled { // it was told
				p := &g.peers[c.reportTo]
				p.unanswered, p.lastUnansweredAt = p.unanswered+1, g.clock.now
			}
			c.retransmissions++
			c.awaitingReplySince, c.askedCount = 0, 0
			if c.retransmissions >= maxGrantAttempts {
				c.retransmissions = 0
				g.settleAwaiting(c, len(c.awaitingOwner), func(r *request) bool { return c.reserveLocal(r.Units, g.clock.now) }, false)
			} else {
				g.markForReport(c, len(c.awaitingOwner) > 0)
				if len(c.awaitingOwner) > 0 {
					c.awaitingReplySince = g.clock.now
				}
			}
		}
		c.awaitingReply = c.awaitingReplySince > 0
	}
	g.awaitingReply = slices.DeleteFunc(g.awaitingReply, func(c *customer) bool { return !c.awaitingReply })
}

// resolve ends the wait of the first n requests that asked.
func (g *Gateway) settleAwaiting(c *customer, n int, ok func(*request) bool, paid bool) {
	list := c.awaitingOwner[:n]
	c.awaitingOwner = slices.Clone(c.awaitingOwner[n:])
	for _, r := range list {
		switch r.awaitingOwner = false; {
		case r.done:
		case ok(r) && (paid || c.ceilingSplitHasCapacity(r.Units, g.clock.now)):
			g.reserve(r, paid)
			g.dispatch(r)
		case g.worthQueueing(r):
			g.queueForSlot(r)
		default:
			g.reject(r, QuotaExceeded)
		}
	}
}

// Peer takes a message of another gateway. Reports are answered at once, all in one message.
func (g *Gateway) HandlePeerMessage(now float64, from int, data []byte) {
	g.clock.advance(now)
	received, err := g.format.decode(data, now)
	if err != nil || from < 0 || from >= len(g.peers) || from == g.settings.Self {
		return
	}
	p := &g.peers[from]
	if !p.acceptSequence(received.incarnation, received.sequence) {
		return
	}
	p.unanswered = 0
	g.receivedMessages, g.receivedMessagesAt = g.receivedMessages*math.Exp(g.receivedMessagesAt-now)+1, now
	for _, n := range received.updates {
		g.mergeGossip(n)
	}
	reply := g.newMessage()
	for _, r := range received.records {
		c := g.customers.byKey[r.Key]
		switch {
		case r.Plan >= len(g.customers.plansByIndex):
		case r.Owner && c != nil && c.reportTo == from:
			g.applyGrant(c, r)
		case !r.Owner:
			if c == nil {
				c = g.customers.add(r.Key, g.customers.plansByIndex[r.Plan])
			}
			c.usedAt = now
			report := memberReport{usageRecord: r, from: from, incarnation: received.incarnation, receivedAt: now}
			reply.records = append(reply.records, c.answerReport(report, g.format, g.queryBackoff))
		}
	}
	g.sendMessage(from, reply)
	g.retryQueued()
	g.sendUsageReports()
}

// queryBackoff returns how long the given number of members is to ask for nothing after a rejection. They
// share a part of what this gateway can receive, the less the more messages come in.
func (g *Gateway) queryBackoff(members int) Seconds {
	queryRate := max(g.settings.PeerMessageRate*ownerQueryFraction, 1)
	return float64(members) / queryRate * min(g.receivedMessages/queryRate, maxBackoffLoad)
}

// heard takes in what the owner says.
func (g *Gateway) applyGrant(c *customer, r usageRecord) {
	most := c.totalUnits + g.format.roundDifference(r.Total-c.totalUnits)
	c.quota.known, c.quota.window, c.acknowledgedUnits = true, tokenBucket{r.Remaining, g.clock.now}, most
	c.quota.othersDemand, c.quota.othersInFlight = r.Demand, r.InFlight
	if r.WantedUnits > 0 && c.askedCount > 0 {
		n := min(c.askedCount, len(c.awaitingOwner))
		c.askedCount, c.retransmissions, c.quota.backoffUntil = 0, 0, g.clock.now+r.Backoff
		g.settleAwaiting(c, n, func(q *request) bool { return c.totalUnits+q.Units <= most+g.format.roundingSlack() }, r.CeilingPool)
		if r.Backoff > 0 {
			g.settleAwaiting(c, len(c.awaitingOwner), func(*request) bool { return false }, false)
		}
	}
	if c.acknowledgedUnits = min(most, c.totalUnits); most > c.totalUnits || len(c.awaitingOwner) > 0 && c.askedCount == 0 {
		g.markForReport(c, len(c.awaitingOwner) > 0)
	}
	if len(c.awaitingOwner) == 0 {
		c.awaitingReplySince, c.retransmissions = 0, 0
	} else if c.askedCount == 0 {
		c.awaitingReplySince = g.clock.now
		g.expectReply(c)
	}
}
