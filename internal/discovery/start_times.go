package discovery

import (
	"math"

	"reedlead/policy"
)

const (
	// clockStepThreshold is the largest change of the offset between wall clock and event time, from one sample to the
	// next, that does not count as a step of the wall clock. Smaller changes come from drift, and from the time between
	// the readings of the two clocks.
	clockStepThreshold policy.Seconds = 0.25
	// maxEpochs is the maximum number of epochs that are kept. An endpoint is usually listed a few seconds after its
	// start, and the wall clock is stepped at most a few times in between.
	maxEpochs = 16
	// startTolerance is the time by which a start may lie before an epoch or in the future, because endpoints and this
	// process read their clocks at different moments.
	startTolerance policy.Seconds = 0.5
)

// StartTimes translates the start times of endpoints into event time.
//
// The decision module uses event time, which never goes backwards. Discovery gives the start of an endpoint in Unix
// time, and the wall clock may be stepped by seconds or hours. So StartTimes tracks the offset between the two clocks,
// and translates each start only once, when it is first listed.
//
// The zero value is ready for use. It is not safe for concurrent use: the event loop owns it.
type StartTimes struct {
	epochs     []clockEpoch // oldest first
	sampledAt  policy.Seconds
	translated map[string]startTime // by the endpoint's id
}

// clockEpoch is a period between two steps of the wall clock.
type clockEpoch struct {
	offset        policy.Seconds // wall clock minus event time, at the last sample
	latestStart   policy.Seconds // event time of its first sample; the epoch started then or earlier
	earliestStart policy.Seconds // event time of the last sample before the epoch; -Inf for the first epoch
}

// startTime is the start of an endpoint in Unix time and in event time.
type startTime struct {
	unixMS int64          // as the endpoint list states it
	at     policy.Seconds // event time
}

// Sample records a reading of both clocks: event time, and the wall clock in Unix seconds.
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

// EventTime returns the event time of an endpoint's start, which the endpoint list states as unixMS. It returns 0,
// which stands for long ago, if unixMS is not positive. Sample must have been called just before.
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

// fromUnix translates a time of the wall clock into event time. Each epoch in which the wall clock may have shown that
// time gives a candidate. fromUnix returns the latest candidate: a start that is too late only costs some of the
// endpoint's capacity, while a start that is too early may overload the endpoint. If there is no candidate, the
// endpoint is taken to have started now.
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

// RemoveUnlisted removes the start times of endpoints that are no longer listed.
func (s *StartTimes) RemoveUnlisted(listed func(id string) bool) {
	for id := range s.translated {
		if !listed(id) {
			delete(s.translated, id)
		}
	}
}
