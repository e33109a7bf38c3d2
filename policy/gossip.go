package policy

// loadUpdate is the class of a health update that holds the utilization of an endpoint instead of a score.
const loadUpdate = -1

const (
	// minGossipInterval is the minimum time by which a health update must be newer than the known state to
	// replace it.
	minGossipInterval Seconds = 0.2

	maxGossip                = 64  // health updates held in the buffer
	gossipPerMessage         = 6   // health updates sent per message, at most
	gossipExpiry     Seconds = 2.0 // age at which health updates are no longer sent
)

// healthUpdate is the information about an endpoint that gateways exchange: its outlier score for a class, or
// its utilization if class is loadUpdate.
type healthUpdate struct {
	endpointHash uint16
	class        int
	value        float64 // 0 to 1
	at           Seconds // time of the observation
}

// gossipBuffer holds the health updates to send to other gateways, in order of publication. Updates are
// shared because a gateway of a large fleet has too little traffic of its own to judge each endpoint.
type gossipBuffer struct {
	updates []healthUpdate
}

// publish adds an update, and drops the first one if the buffer is full.
func (b *gossipBuffer) publish(update healthUpdate) {
	b.updates = append(b.updates, update)
	if len(b.updates) > maxGossip {
		b.updates = b.updates[1:]
	}
}

// recent returns up to limit of the last gossipPerMessage updates in the buffer, the last published first. It
// skips expired updates, and scores of classes whose index does not fit in a message.
func (b *gossipBuffer) recent(limit int, now Seconds) (updates []healthUpdate) {
	oldest := max(0, len(b.updates)-gossipPerMessage)
	for i := len(b.updates) - 1; i >= oldest && len(updates) < limit; i-- {
		update := b.updates[i]
		if now-update.at < gossipExpiry && update.class < firstEntryByte {
			updates = append(updates, update)
		}
	}
	return updates
}

// merge applies an update from another gateway to the endpoint that it concerns, and forwards the update if
// applyUpdate returns true.
func (b *gossipBuffer) merge(endpoints *endpointTable, update healthUpdate) {
	e := endpoints.byHash[update.endpointHash]
	if e != nil && e.applyUpdate(update) {
		b.publish(update)
	}
}

// applyUpdate applies an update from another gateway, and reports whether it should be forwarded. It ignores
// an update about a previous process of the endpoint, an update that is not newer than the known state by at
// least minGossipInterval, and a score that is older than the last success. For these it returns false.
func (e *endpoint) applyUpdate(update healthUpdate) bool {
	if e.StartedAt > update.at {
		return false // about a previous process of the endpoint
	}
	if update.class == loadUpdate {
		if update.at < e.utilizationAt+minGossipInterval {
			return false
		}
		e.setUtilization(update.value, update.at)
		return true
	}
	if update.class >= len(e.outlierScores) {
		return true // a class that this gateway does not have: forwarded without being applied
	}
	score := &e.outlierScores[update.class]
	if update.at < score.at+minGossipInterval || update.at < e.lastSuccessAt[update.class] {
		return false
	}
	*score = outlierScore{level: update.value, at: update.at}
	return true
}
