package policy

import (
	"encoding/binary"
	"math"
)

// The bytes of a message between gateways: a header, then records of fixed
// size. What goes in, when and to whom is decided in reports.go.

const (
	messageVersion = 2
	headerSize     = 5
	countOffset    = 4 // where the number of records stands
	updateSize     = 5
	loadUpdate     = -1   // in place of a class: the item is a server's use
	loadUpdateByte = 255  // how that is written; classes from there on are not told of
	updateAgeStep  = 0.02 // seconds
	baseRecordSize = 17
	maxMessageSize = 256
	backoffStep    = 0.05 // seconds
)

// Widths of the fields of a record, which its form must fit to the settings.
const (
	maxRequestSteps = 48.0   // wire units that one request may take; some may ask together
	maxWindowSteps  = 7500.0 // that a window may hold
	maxRateSteps    = 15000.0
	plansInHead     = 32   // plans that the head of a record tells apart
	maxPlans        = 8192 // with one more byte
)

// form is how records are written: all gateways have the same settings, and so the same form.
type messageFormat struct {
	unitsPerStep float64 // units in one unit on the wire
	widePlan     bool    // plans take one more byte
}

func newMessageFormat(s Settings) messageFormat {
	f := messageFormat{unitsPerStep: 1, widePlan: len(s.Plans) > plansInHead}
	burst := 0.0
	for _, p := range s.Plans {
		burst = max(burst, p.Burst)
		f.unitsPerStep = max(f.unitsPerStep, p.Rate/maxRateSteps)
	}
	first := float64(s.MaxRequestUnits)
	if first <= 0 {
		first = burst // none larger is ever inside its quota
	}
	f.unitsPerStep = max(f.unitsPerStep, first/maxRequestSteps, burst/maxWindowSteps)
	return f
}

// size is that of one record.
func (f messageFormat) recordSize() int {
	if f.widePlan {
		return baseRecordSize + 1
	}
	return baseRecordSize
}

// in puts the units of a record into others, so many of which make one of its own.
func (r usageRecord) scale(grain float64) usageRecord {
	for _, x := range []*float64{&r.Total, &r.Remaining, &r.Demand, &r.Unacknowledged, &r.WantedUnits, &r.FirstWantedUnits} {
		*x *= grain
	}
	return r
}

// quarters rounds a difference of two counts, of which one has come over the wire.
func (f messageFormat) roundDifference(x float64) float64 {
	return float64(int16(int64(math.Floor(x/f.unitsPerStep*4+0.5)))) / 4 * f.unitsPerStep
}

// slack is what rounding may take from a grant.
func (f messageFormat) roundingSlack() float64 { return (f.unitsPerStep-1)/4 + 1e-9 }

// record is what two gateways tell each other of one customer. From a member to
// the owner, Total is the member's count, Rate what it is asked for, Room the room
// it last heard. From the owner, Total is the count it has taken in or set aside,
// Rate what all others are asked for, Room the room left of the whole quota.
type usageRecord struct {
	Key              uint32  // 32 bits of the customer's hash
	Plan             int     // the plan's place in the settings
	Owner            bool    // the sender speaks as the owner
	Known            bool    // Room stands for something heard or counted
	CeilingPool      bool    // member: the owner is the first on the ring; owner: the grant is paid from its ceiling
	Total            float64 // units, in quarters, modulo 16384
	Remaining        float64 // units, in quarters, -64 to 8k
	Demand           float64 // units a second, in quarters, up to 16k
	InFlight         int     // attempts out now, up to 65535
	Unacknowledged   float64 // units not yet taken in by any owner, up to 63.75; member only
	WantedUnits      float64 // units of requests that wait, up to 63.75; owner: above 0 if it answers such a report
	FirstWantedUnits float64 // of the first of them, up to 63.75; member only
	Cheapness        float64 // how cheap it is, 0 to 1; member only
	Backoff          float64 // seconds until it is worth asking again, up to 12.75; owner only
}

func appendHeader(b []byte, boot uint8, seq uint16) []byte {
	return append(b, messageVersion, boot, byte(seq>>8), byte(seq), 0)
}

func clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }

func (f messageFormat) appendRecord(b []byte, r usageRecord) []byte {
	r = r.scale(1 / f.unitsPerStep)
	head := byte(r.Plan % plansInHead)
	for i, on := range []bool{r.Owner, r.Known, r.CeilingPool} {
		if on {
			head |= 1 << (7 - i)
		}
	}
	b = append(binary.BigEndian.AppendUint32(b, r.Key), head)
	b = binary.BigEndian.AppendUint16(b, uint16(int64(math.Floor(r.Total*4+0.5))))
	b = binary.BigEndian.AppendUint16(b, uint16(int16(clamp(r.Remaining*4, -256, 32000))))
	b = binary.BigEndian.AppendUint16(b, uint16(clamp(r.Demand*4, 0, math.MaxUint16)))
	b = binary.BigEndian.AppendUint16(b, uint16(clamp(float64(r.InFlight), 0, math.MaxUint16)))
	first := math.Ceil(r.FirstWantedUnits * 4)
	if r.Owner {
		first = math.Ceil(r.Backoff / backoffStep)
	}
	b = append(b, byte(clamp(r.Unacknowledged*4, 0, 255)), byte(clamp(math.Ceil(r.WantedUnits*4), 0, 255)),
		byte(clamp(first, 0, 255)), byte(clamp(r.Cheapness*255, 0, 255)))
	if f.widePlan {
		b = append(b, byte(r.Plan/plansInHead))
	}
	return b
}

func appendItem(b []byte, n healthUpdate, now float64) []byte {
	b = binary.BigEndian.AppendUint16(b, n.endpointHash)
	return append(b, byte(n.class), byte(clamp(n.value*255, 0, 255)), byte(clamp((now-n.at)/updateAgeStep, 0, 255)))
}

// parse returns false for anything that is not a whole message of this version.
func (f messageFormat) parse(b []byte, now float64) (boot uint8, seq uint16, recs []usageRecord, items []healthUpdate, ok bool) {
	if len(b) < headerSize || len(b) > maxMessageSize || b[0] != messageVersion {
		return 0, 0, nil, nil, false
	}
	boot, seq = b[1], binary.BigEndian.Uint16(b[2:])
	n := int(b[countOffset])
	b = b[headerSize:]
	if len(b) < n*f.recordSize() || (len(b)-n*f.recordSize())%updateSize != 0 {
		return 0, 0, nil, nil, false
	}
	for ; n > 0; n, b = n-1, b[f.recordSize():] {
		r := usageRecord{
			Key: binary.BigEndian.Uint32(b), Plan: int(b[4] % plansInHead), Owner: b[4]>>7 == 1, Known: b[4]>>6&1 == 1,
			CeilingPool: b[4]>>5&1 == 1, Total: float64(binary.BigEndian.Uint16(b[5:])) / 4,
			Remaining: float64(int16(binary.BigEndian.Uint16(b[7:]))) / 4,
			Demand:    float64(binary.BigEndian.Uint16(b[9:])) / 4, InFlight: int(binary.BigEndian.Uint16(b[11:])),
			Unacknowledged: float64(b[13]) / 4, WantedUnits: float64(b[14]) / 4, Cheapness: float64(b[16]) / 255,
		}
		if r.Owner {
			r.Backoff = float64(b[15]) * backoffStep
		} else {
			r.FirstWantedUnits = float64(b[15]) / 4
		}
		if f.widePlan {
			r.Plan += int(b[baseRecordSize]) * plansInHead
		}
		recs = append(recs, r.scale(f.unitsPerStep))
	}
	for ; len(b) > 0; b = b[updateSize:] {
		class := int(b[2])
		if class == loadUpdateByte {
			class = loadUpdate
		}
		at := now - float64(b[4])*updateAgeStep
		items = append(items, healthUpdate{binary.BigEndian.Uint16(b), class, float64(b[3]) / 255, at})
	}
	return boot, seq, recs, items, true
}
