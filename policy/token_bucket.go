package policy

// tokenBucket holds a number of tokens that grows up to a burst. The number may be negative. Callers pass
// the rate and the burst, because they may change, for example when this gateway learns how many gateways
// receive a customer's requests.
type tokenBucket struct {
	tokens    float64 // at updatedAt
	updatedAt Seconds
}

// level returns the number of tokens at now, without changing the bucket.
func (b tokenBucket) level(rate, burst float64, now Seconds) float64 {
	return min(burst, b.tokens+rate*(now-b.updatedAt))
}

// refill adds the tokens accrued since updatedAt, up to the burst.
func (b *tokenBucket) refill(rate, burst float64, now Seconds) {
	b.tokens, b.updatedAt = b.level(rate, burst, now), now
}
