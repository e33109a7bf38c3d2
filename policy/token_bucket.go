package policy

// tokenBucket fills evenly with time, up to a burst. Rate and burst are given at each call, as they differ
// with the part of a quota that the holder of the bucket may use at that time. Tokens may be taken below 0.
type tokenBucket struct {
	tokens    float64 // at updatedAt
	updatedAt Seconds
}

// level returns the tokens that the bucket holds at now, and leaves it as it is.
func (b tokenBucket) level(rate, burst float64, now Seconds) float64 {
	return min(burst, b.tokens+rate*(now-b.updatedAt))
}

// refill brings the bucket up to now.
func (b *tokenBucket) refill(rate, burst float64, now Seconds) {
	b.tokens, b.updatedAt = b.level(rate, burst, now), now
}
