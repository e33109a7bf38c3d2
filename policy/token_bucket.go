package policy

// tokenBucket is a number of tokens that grows at a rate up to a burst. Rate and burst are parameters of each
// call, because the fraction of a quota that the bucket represents may change. The number may be negative.
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
