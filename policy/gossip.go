package policy

// loadUpdate in place of a class marks a health update that holds an endpoint's utilization.
const loadUpdate = -1

const (
	// minGossipInterval is how much newer a health update must be than what is known already. It is also the
	// least age at which an attempt without a reply counts as a failure.
	minGossipInterval Seconds = 0.2

	maxGossip                = 64  // health updates that are held
	gossipPerMessage         = 6   // health updates of a message, at most
	gossipExpiry     Seconds = 2.0 // older health updates are not sent
)

// healthUpdate is what gateways tell each other of an endpoint: its outlier score for a class, or its
// utilization if class is loadUpdate.
type healthUpdate struct {
	endpointHash uint16
	class        int
	value        float64 // 0 to 1
	at           Seconds // when it was observed
}

// gossipBuffer holds the health updates that other gateways are sent, newest last. A gateway of a large fleet
// sees too little of an endpoint itself.
type gossipBuffer struct {
	updates []healthUpdate
}

// publish adds an update, in place of the oldest one if the buffer is full.
func (b *gossipBuffer) publish(update healthUpdate) {
	b.updates = append(b.updates, update)
	if len(b.updates) > maxGossip {
		b.updates = b.updates[1:]
	}
}

// recent returns the newest updates that are still worth sending, at most limit of them, newest first.
func (b *gossipBuffer) recent(limit int, now Seconds) (updates []healthUpdate) {
	oldest := max(0, len(b.updates)-gossipPerMessage)
	for i := len(b.updates) - 1; i >= oldest && len(updates) < limit; i-- {
		update := b.updates[i]
		if now-update.at < gossipExpiry && update.class < loadUpdateByte {
			updates = append(updates, update)
		}
	}
	return updates
}

// merge takes in another gateway's update, and passes it on if it is newer than what is known.
func (b *gossipBuffer) merge(endpoints *endpointTable, update healthUpdate) {
	e := endpoints.byHash[update.endpointHash]
	if e != nil && e.applyUpdate(update) {
		b.publish(update)
	}
}

// applyUpdate takes in another gateway's update, and returns false if it is not newer than what is known.
func (e *endpoint) applyUpdate(update healthUpdate) bool {
	if e.StartedAt > update.at {
		return false // about an earlier process
	}
	if update.class == loadUpdate {
		if update.at < e.utilizationAt+minGossipInterval {
			return false
		}
		e.setUtilization(update.value, update.at)
		return true
	}
	if update.class >= len(e.outlierScores) {
		return true
	}
	score := &e.outlierScores[update.class]
	if update.at < score.at+minGossipInterval || update.at < e.lastSuccessAt[update.class] {
		return false
	}
	*score = outlierScore{level: update.value, at: update.at}
	return true
}
