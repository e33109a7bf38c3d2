package policy

const (
	// loadUpdate in place of a class marks a health update that holds an endpoint's utilization.
	loadUpdate = -1

	// minGossipInterval is how much newer a health update must be than what is known already. It is also the
	// least age at which an attempt without a reply counts as a failure.
	minGossipInterval Seconds = 0.2

	gossipPerMessage         = 6   // health updates of a message, at most
	gossipExpiry     Seconds = 2.0 // older health updates are not sent
)

// gossipBuffer holds the health updates that other gateways are sent, newest last.
type gossipBuffer struct {
	gossip []healthUpdate
}

// recent returns the newest health updates that are still worth sending, at most limit of them, newest first.
func (b *gossipBuffer) recent(limit int, now Seconds) (updates []healthUpdate) {
	for i := len(b.gossip) - 1; i >= max(0, len(b.gossip)-gossipPerMessage) && len(updates) < limit; i-- {
		update := b.gossip[i]
		if now-update.at < gossipExpiry && update.class < loadUpdateByte {
			updates = append(updates, update)
		}
	}
	return updates
}
