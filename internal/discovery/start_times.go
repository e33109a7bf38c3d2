package discovery

import (
	"math"

	"reedlead/policy"
)

const (
	// clockStepThreshold is the difference between two samples of the offset between the clocks above which the wall clock
	// was stepped between them; less is drift, or the time between the readings of the two clocks.
	clockStepThreshold policy.Seconds = 0.25
	// maxEpochs is how many epochs are remembered: a start is announced at most some seconds after it happened, and few
	// steps of the clock come within that.
	maxEpochs = 16
	// startTolerance is by how much a start may lie outside of an epoch, or in the future: machines read the clock at
	// different moments.
	startTolerance policy.Seconds = 0.5
)

// StartTimes translates the starts of endpoints into event time.
//
// The decision module counts in this process's own time, which only advances. Discovery gives the start of an
// endpoint in Unix time, and the wall clock may be stepped meanwhile, by seconds or by hours. So the
// offset between the two is followed, and each start is translated once, when it is first listed.
//
// The zero value is ready for use. It is not safe for concurrent use: the event loop owns it.
type StartTimes struct {
	epochs     []clockEpoch // oldest first
	sampledAt  policy.Seconds
	translated map[string]startTime // by the endpoint's id
}

// clockEpoch is a span between two steps of the wall clock.
type clockEpoch struct {
	offset        policy.Seconds // wall clock less event time
	latestStart   policy.Seconds // event time by which it had begun
	earliestStart policy.Seconds // event time by which it had not
}

// startTime is the start of an endpoint as discovery gives it, and its translation.
type startTime struct {
	unixMS int64          // as discovery gives it
	at     policy.Seconds // event time; 0: long ago
}

// Sample records a reading of both clocks: the event time, and the wall clock in Unix seconds.
func (s *StartTimes) Sample(now, wall policy.Seconds) {
	offset := wall - now
	if n := len(s.epochs); n == 0 {
		s.epochs = append(s.epochs, clockEpoch{offset, now, math.Inf(-1)})
	} else if last := &s.epochs[n-1]; math.Abs(offset-last.offset) > clockStepThreshold {
		s.epochs = append(s.epochs, clockEpoch{offset, now, s.sampledAt})
		s.epochs = s.epochs[max(0, len(s.epochs)-maxEpochs):]
	} else {
		last.offset = offset
	}
	s.sampledAt = now
}

// EventTime returns the start of an endpoint in event time; 0 stands for long ago. The clocks have to be
// sampled right before it.
func (s *StartTimes) EventTime(id string, unixMS int64) policy.Seconds {
	if unixMS <= 0 {
		return 0
	}
	if translated, ok := s.translated[id]; ok && translated.unixMS == unixMS {
		return translated.at
	}
	at := s.fromUnix(float64(unixMS) / 1000)
	if s.translated == nil {
		s.translated = map[string]startTime{}
	}
	s.translated[id] = startTime{unixMS, at}
	return at
}

// fromUnix translates a wall time of the past. Each epoch in which the wall clock may have shown it gives a
// candidate; the latest one counts: an endpoint that is taken to have started too late gets less load than it
// has capacity for, one taken to have started too early may be overloaded. A start in the future of all epochs
// has just happened.
func (s *StartTimes) fromUnix(unix policy.Seconds) policy.Seconds {
	now := s.sampledAt
	latest, found := 0.0, false
	for i, epoch := range s.epochs {
		at := unix - epoch.offset
		until := now + startTolerance
		if i+1 < len(s.epochs) {
			until = s.epochs[i+1].latestStart
		}
		if at < epoch.earliestStart-startTolerance || at > until {
			continue
		}
		if at = min(at, now); !found || at > latest {
			latest, found = at, true
		}
	}
	if !found {
		return now
	}
	return latest
}

// RemoveUnlisted drops the endpoints that are not listed any more.
func (s *StartTimes) RemoveUnlisted(listed func(id string) bool) {
	for id := range s.translated {
		if !listed(id) {
			delete(s.translated, id)
		}
	}
}
