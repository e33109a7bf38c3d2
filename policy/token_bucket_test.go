package policy

import "testing"

func TestTokenBucketFillsEvenlyUpToItsBurst(t *testing.T) {
	const rate, burst = 2.0, 8.0
	for _, tc := range []struct {
		name   string
		bucket tokenBucket
		now    Seconds
		want   float64
	}{
		{"unchanged at the same time", tokenBucket{tokens: 3, updatedAt: 100}, 100, 3},
		{"filled by the rate", tokenBucket{tokens: 3, updatedAt: 100}, 101.5, 6},
		{"bounded by the burst", tokenBucket{tokens: 3, updatedAt: 100}, 200, 8},
		{"filled from below 0", tokenBucket{tokens: -3, updatedAt: 100}, 101, -1},
		{"cut to the burst", tokenBucket{tokens: 9, updatedAt: 100}, 100, 8},
	} {
		if got := tc.bucket.level(rate, burst, tc.now); got != tc.want {
			t.Errorf("%s: level = %v, want %v", tc.name, got, tc.want)
		}
		tc.bucket.refill(rate, burst, tc.now)
		if want := (tokenBucket{tokens: tc.want, updatedAt: tc.now}); tc.bucket != want {
			t.Errorf("%s: refilled to %+v, want %+v", tc.name, tc.bucket, want)
		}
	}
}
