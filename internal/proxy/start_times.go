package proxy

import "math"

// The module reckons in this process's own time, which only advances. Discovery tells in Unix time when a backend
// was started, and the wall clock may be stepped meanwhile, by seconds or by hours. So the offset between the two is
// followed, and each start is taken into the process's time once, when it is first heard of.

const (
	// Two readings of the offset that differ by more than this have a step of the wall clock between them; less is
	// drift, or the time between the readings of two clocks.
	minStep = 0.25
	// Steps that are remembered. A start is told at most some seconds after it happened.
	epochsKept = 16
	// By how much a start may lie outside of an epoch, or in the future: machines read the clock at different moments.
	startSlack = 0.5
)

// wallEpoch is a time between two steps of the wall clock.
type wallEpoch struct {
	offset   float64 // wall clock less process time
	from     float64 // process time by which it had begun, and
	earliest float64 // before which it had not
}

// startTimes takes the starts of backends into the process's time. The loop owns it.
type startTimes struct {
	epochs    []wallEpoch // oldest first
	sampledAt float64
	known     map[string]startTime // by the backend's id
}

type startTime struct {
	ms int64   // as discovery words it
	at float64 // in the process's time; 0: long ago
}

// sample takes in a reading of both clocks.
func (s *startTimes) sample(now, wall float64) {
	offset := wall - now
	if n := len(s.epochs); n == 0 {
		s.epochs = append(s.epochs, wallEpoch{offset, now, math.Inf(-1)})
	} else if last := &s.epochs[n-1]; math.Abs(offset-last.offset) > minStep {
		s.epochs = append(s.epochs, wallEpoch{offset, now, s.sampledAt})
		s.epochs = s.epochs[max(0, len(s.epochs)-epochsKept):]
	} else {
		last.offset = offset
	}
	s.sampledAt = now
}

// of is when a backend was started, in the process's time; 0 stands for long ago. The clocks have just been sampled.
func (s *startTimes) of(id string, ms int64) float64 {
	if ms <= 0 {
		return 0
	}
	if k, ok := s.known[id]; ok && k.ms == ms {
		return k.at
	}
	at := s.fromUnix(float64(ms) / 1000)
	if s.known == nil {
		s.known = map[string]startTime{}
	}
	s.known[id] = startTime{ms, at}
	return at
}

// fromUnix takes a wall time of the past into the process's time. Each epoch in which the wall clock may have shown
// it gives a candidate; the latest one counts, as a backend taken for colder than it is gets less than it could
// bear, and one taken for warmer may fall. What lies in the future of all of them has just happened.
func (s *startTimes) fromUnix(unix float64) float64 {
	now := s.sampledAt
	latest, found := 0.0, false
	for i, e := range s.epochs {
		at := unix - e.offset
		until := now + startSlack
		if i+1 < len(s.epochs) {
			until = s.epochs[i+1].from
		}
		if at < e.earliest-startSlack || at > until {
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

// forget lets go of backends that are not listed any more.
func (s *startTimes) forget(listed func(id string) bool) {
	for id := range s.known {
		if !listed(id) {
			delete(s.known, id)
		}
	}
}
