package policy

import (
	"fmt"
	"testing"
)

// Guards against settings that the messages can't hold: with large units no member was ever granted a
// request, as its owner heard of 63.75 units at most; and with many plans gateways would not start.
func TestMessageFormatFitsTheSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		units  float64 // of a request
		plan   string
		change func(*Settings)
	}{
		"as usual": {1, "basic", func(*Settings) {}},
		"large units": {300, "basic", func(s *Settings) {
			s.MaxRequestUnits, s.Plans[0].Rate, s.Plans[0].Burst = 600, 600, 2400
		}},
		"large counts": {25_000, "basic", func(s *Settings) {
			s.MaxRequestUnits, s.Plans[0].Rate, s.Plans[0].Burst = 30_000, 50_000, 200_000
		}},
		"20 plans": {1, "p19", func(s *Settings) { s.Plans = plansLike(s.Plans[0], 20) }},
		"60 plans": {1, "p59", func(s *Settings) { s.Plans = plansLike(s.Plans[0], 60) }},
	} {
		t.Run(name, func(t *testing.T) {
			g, r, pump := pairOf(t, tc.change)
			sent, seen := [2]int{}, [2]int{}
			for i := range 500 {
				now := 100 + float64(i)*0.02
				sendRequest(g[i%2], now, fmt.Sprint("q", i), "read", tc.plan, tc.units)
				pump(now)
				for k := range 2 {
					sent[k] += len(replyToAll(g[k], r[k], &seen[k], now))
				}
			}
			// 10 s of 2 requests' units a second, and a burst of 8 of them.
			if all := sent[0] + sent[1]; all < 22 || all > 31 {
				t.Errorf("%d requests were sent on, the quota holds 28", all)
			}
			if sent[0] < 5 || sent[1] < 5 {
				t.Errorf("one gateway sent %d, the other %d: both ask for as much", sent[0], sent[1])
			}
		})
	}
}

// plansLike makes plans of which the last is as large as p, and the others let next to nothing in.
func plansLike(p Plan, n int) (list []Plan) {
	last := p
	for i := range n - 1 {
		p.Name, p.Rate, p.Burst = fmt.Sprint("p", i), 0.1, 1
		list = append(list, p)
	}
	last.Name = fmt.Sprint("p", n-1)
	return append(list, last)
}

// Guards the fields of a record, in the form of any settings, against losing more than their rounding.
func TestRecordsRoundTrip(t *testing.T) {
	for _, f := range []messageFormat{testFormat, {unitsPerStep: 12.5}, {unitsPerStep: 3, widePlan: true}} {
		for plan := range 3 * plansInHead {
			if !f.widePlan && plan >= plansInHead {
				break
			}
			want := usageRecord{
				Key: 7, Plan: plan, Known: true, Total: 40 * f.unitsPerStep, Remaining: -2 * f.unitsPerStep, Demand: 9 * f.unitsPerStep, InFlight: 3,
				Unacknowledged: 5 * f.unitsPerStep, WantedUnits: 20 * f.unitsPerStep, FirstWantedUnits: 2 * f.unitsPerStep, Cheapness: 1,
			}
			b := f.appendRecord(appendHeader(nil, 1, 1), want)
			b[countOffset] = 1
			b = appendItem(b, healthUpdate{9, loadUpdate, 1, 50}, 50)
			_, _, recs, items, ok := f.parse(b, 50)
			if !ok || len(recs) != 1 || recs[0] != want {
				t.Fatalf("%+v: got %+v, want %+v", f, recs, want)
			}
			if len(items) != 1 || items[0] != (healthUpdate{9, loadUpdate, 1, 50}) {
				t.Fatalf("%+v: got %+v", f, items)
			}
		}
	}
}
