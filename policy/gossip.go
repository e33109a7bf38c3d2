package policy

// Times are in seconds.
const (
	minGossipInterval = 0.2 // and so much newer than what is known already; also the least silence that tells
)

// gossipBuffer holds what other gateways are to be told of endpoints.
type gossipBuffer struct {
	gossip []healthUpdate
}
