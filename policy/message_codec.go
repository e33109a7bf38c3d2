package policy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// The layout of a peer message: a header, usage records and health updates, each of a fixed size. All
// numbers are big-endian. The header holds the version, the low byte of the sender's incarnation, the
// sequence number (two bytes) and the number of usage records. After the records come the names of their
// customers and health updates.
const (
	messageVersion = 2
	maxMessageSize = 256 // bytes
	headerSize     = 5   // bytes

	incarnationOffset = 1
	sequenceOffset    = 2
	countOffset       = 4 // number of usage records
)

// The layout of a usage record: the offsets of its fields in bytes.
const (
	keyOffset             = 0
	flagsOffset           = 4 // flags in the three high bits, low bits of the plan index in the other five
	totalOffset           = 5
	remainingOffset       = 7
	demandOffset          = 9
	inFlightOffset        = 11
	unacknowledgedOffset  = 13
	wantedOffset          = 14
	firstWantedOffset     = 15 // holds the backoff in an owner's record
	priorityDeficitOffset = 16
	planHighOffset        = 17 // high bits of the plan index; present only with more than plansInFlags plans
	baseRecordSize        = 17

	ownerFlag          = 1 << 7
	remainingKnownFlag = 1 << 6
	ceilingPoolFlag    = 1 << 5
)

// The layout of a health update: the endpoint's hash (two bytes), the class, the value and the age. The
// offsets are in bytes.
const (
	updateClassOffset = 2
	updateValueOffset = 3
	updateAgeOffset   = 4
	updateSize        = 5 // bytes

	// loadUpdateByte is the class byte of a load update.
	loadUpdateByte = 255
)

// The resolution of fractional values on the wire.
const (
	stepsPerWireUnit         = 4             // units and rates are sent in quarters of a wire unit
	backoffStep      Seconds = 0.05          // of usageRecord.backoff
	updateAgeStep    Seconds = 0.02          // of the age of a health update
	maxByte                  = math.MaxUint8 // represents the fraction 1
)

// Limits of the values in a record. newMessageFormat makes the wire unit so large that the values of the
// settings stay within the first three limits.
const (
	// maxRequestWireUnits is less than the maximum of wantedUnits, 63.75, so that a report can ask for the units
	// of more than one request.
	maxRequestWireUnits = 48.0
	maxWindowWireUnits  = 7500.0  // burst of a quota
	maxRateWireUnits    = 15000.0 // rate of a quota, per second

	minRemainingSteps = -256.0  // quarters of a wire unit
	maxRemainingSteps = 32000.0 // quarters of a wire unit

	plansInFlags = 32   // number of plans that the flags byte can distinguish
	maxPlans     = 8192 // number of plans that a record with planHighOffset can distinguish
)

// Errors that messageFormat.decode wraps.
var (
	errMessageVersion = errors.New("peer message has an unsupported version")
	errMessageLength  = errors.New("peer message has an invalid length")
)

// message is a message from one gateway to another.
type message struct {
	incarnation uint32 // of the sending process; its low byte alone if no name of the records is known
	sequence    uint16 // increases with each message of an incarnation and wraps around
	records     []usageRecord
	updates     []healthUpdate
}

// usageRecord is the part of a message that concerns one customer: a report from a member to the owner, or
// the owner's reply. Some fields differ between reports and replies:
//   - total is the member's count of units in a report. In a reply, it is the number of units that the owner
//     has counted or reserved for the member.
//   - remaining is the number of units left of the whole quota: the member's estimate in a report, and the
//     level of the ledger in a reply.
//   - demand and inFlight are those of the member in a report, and of all other gateways in a reply.
//
// The fields hold units, but the ranges given below are in wire units: multiply them by
// messageFormat.unitsPerWireUnit. On the wire, units and demand are sent in quarters of a wire unit.
type usageRecord struct {
	key              uint32 // upper 32 bits of the customer's hash
	name             nameCode
	planIndex        int     // index of the plan in the settings
	fromOwner        bool    // the sender is the customer's owner
	remainingKnown   bool    // remaining is based on an owner's reply or a ledger, not assumed
	ceilingPool      bool    // report: to the primary owner; reply: the owner reserved units of its pool
	total            float64 // units, modulo 16384
	remaining        float64 // units, -64 to 8000
	demand           float64 // units per second, up to 16383.75
	inFlight         int     // attempts in flight, up to 65535
	unacknowledged   float64 // units that no owner has acknowledged, up to 63.75; reports only
	wantedUnits      float64 // units of all requests awaiting a grant, up to 63.75; copied to the reply
	firstWantedUnits float64 // units of the first waiting request, up to 63.75; reports only
	priorityDeficit  float64 // of the first waiting request, 0 to 1; reports only
	backoff          Seconds // time during which the member must not ask again, up to 12.75; replies only
}

// scale returns the record with all units and the demand multiplied by factor.
func (r usageRecord) scale(factor float64) usageRecord {
	r.total *= factor
	r.remaining *= factor
	r.demand *= factor
	r.unacknowledged *= factor
	r.wantedUnits *= factor
	r.firstWantedUnits *= factor
	return r
}

// messageFormat encodes and decodes peer messages. The format depends only on the plans and
// MaxRequestUnits, which are the same at all gateways of a fleet.
type messageFormat struct {
	unitsPerWireUnit float64 // units per wire unit, at least 1
	widePlanIndex    bool    // records have an additional byte for the plan index
}

// newMessageFormat returns the format for the settings. Its wire unit is so large that a record can hold the
// rate and the burst of each plan and the units of the largest request that a quota admits.
func newMessageFormat(settings Settings) messageFormat {
	format := messageFormat{unitsPerWireUnit: 1, widePlanIndex: len(settings.Plans) > plansInFlags}
	largestBurst := 0.0
	for _, plan := range settings.Plans {
		largestBurst = max(largestBurst, plan.Burst)
		format.unitsPerWireUnit = max(format.unitsPerWireUnit, plan.Rate/maxRateWireUnits)
	}
	largestRequest := float64(settings.MaxRequestUnits)
	if largestRequest <= 0 {
		largestRequest = largestBurst // no quota admits a larger request
	}
	format.unitsPerWireUnit = max(format.unitsPerWireUnit,
		largestRequest/maxRequestWireUnits, largestBurst/maxWindowWireUnits)
	return format
}

// recordSize returns the size of a usage record in bytes.
func (f messageFormat) recordSize() int {
	if f.widePlanIndex {
		return baseRecordSize + 1
	}
	return baseRecordSize
}

// hasRoomFor reports whether a message with the given records can hold another one.
func (f messageFormat) hasRoomFor(records []usageRecord, next usageRecord) bool {
	return f.sizeWithoutUpdates(append(records, next)) <= maxMessageSize
}

// maxUpdates returns the number of health updates that fit into a message with the given records.
func (f messageFormat) maxUpdates(records []usageRecord) int {
	return (maxMessageSize - f.sizeWithoutUpdates(records)) / updateSize
}

// sizeWithoutUpdates returns the size of a message with the given records and no health updates, in bytes.
func (f messageFormat) sizeWithoutUpdates(records []usageRecord) int {
	return headerSize + len(records)*f.recordSize() + identitySize(records)
}

// roundDifference rounds the difference of two totals to the resolution of the wire format. It also undoes
// the wraparound of a total that was decoded from a message.
func (f messageFormat) roundDifference(units float64) float64 {
	steps := int16(int64(math.Floor(units/f.unitsPerWireUnit*stepsPerWireUnit + 0.5)))
	return float64(steps) / stepsPerWireUnit * f.unitsPerWireUnit
}

// roundingTolerance returns the number of units by which requests may exceed a grant, to allow for the
// rounding of totals. It is almost 0 if a wire unit is one unit, because whole units are then encoded
// exactly.
func (f messageFormat) roundingTolerance() float64 {
	return (f.unitsPerWireUnit-1)/stepsPerWireUnit + 1e-9
}

// maxDemand returns the highest demand that a record can hold, in units per second.
func (f messageFormat) maxDemand() float64 {
	return math.MaxUint16 * f.unitsPerWireUnit / stepsPerWireUnit
}

// encode returns the encoded form of a message that is sent at now.
func (f messageFormat) encode(m message, now Seconds) []byte {
	data := make([]byte, 0, maxMessageSize)
	data = append(data, messageVersion, byte(m.incarnation))
	data = binary.BigEndian.AppendUint16(data, m.sequence)
	data = append(data, byte(len(m.records)))
	for _, record := range m.records {
		data = f.appendRecord(data, record)
	}
	if hasNames(m.records) {
		data = appendEntry(data, incarnationByte, m.incarnation)
		data = appendNames(data, m.records)
	}
	for _, update := range m.updates {
		data = appendUpdate(data, update, now)
	}
	return data
}

func (f messageFormat) appendRecord(data []byte, record usageRecord) []byte {
	record = record.scale(1 / f.unitsPerWireUnit)
	data = binary.BigEndian.AppendUint32(data, record.key)
	data = append(data, recordFlags(record))
	data = binary.BigEndian.AppendUint16(data, uint16(int64(math.Floor(record.total*stepsPerWireUnit+0.5))))
	remaining := clamp(record.remaining*stepsPerWireUnit, minRemainingSteps, maxRemainingSteps)
	data = binary.BigEndian.AppendUint16(data, uint16(int16(remaining)))
	data = binary.BigEndian.AppendUint16(data, uint16(clamp(record.demand*stepsPerWireUnit, 0, math.MaxUint16)))
	data = binary.BigEndian.AppendUint16(data, uint16(clamp(float64(record.inFlight), 0, math.MaxUint16)))
	firstWanted := math.Ceil(record.firstWantedUnits * stepsPerWireUnit)
	if record.fromOwner {
		firstWanted = math.Ceil(record.backoff / backoffStep)
	}
	data = append(data,
		clampToByte(record.unacknowledged*stepsPerWireUnit),
		clampToByte(math.Ceil(record.wantedUnits*stepsPerWireUnit)),
		clampToByte(firstWanted),
		clampToByte(record.priorityDeficit*maxByte))
	if f.widePlanIndex {
		data = append(data, byte(record.planIndex/plansInFlags))
	}
	return data
}

func recordFlags(record usageRecord) byte {
	flags := byte(record.planIndex % plansInFlags)
	if record.fromOwner {
		flags |= ownerFlag
	}
	if record.remainingKnown {
		flags |= remainingKnownFlag
	}
	if record.ceilingPool {
		flags |= ceilingPoolFlag
	}
	return flags
}

// appendUpdate appends a health update. It encodes the age of the update instead of its time, because
// gateways do not share a clock.
func appendUpdate(data []byte, update healthUpdate, now Seconds) []byte {
	data = binary.BigEndian.AppendUint16(data, update.endpointHash)
	return append(data,
		byte(update.class),
		clampToByte(update.value*maxByte),
		clampToByte((now-update.at)/updateAgeStep))
}

// decode decodes a message that was received at now.
func (f messageFormat) decode(data []byte, now Seconds) (message, error) {
	if len(data) < headerSize || len(data) > maxMessageSize {
		return message{}, fmt.Errorf("%w: %d bytes", errMessageLength, len(data))
	}
	if data[0] != messageVersion {
		return message{}, fmt.Errorf("%w: %d", errMessageVersion, data[0])
	}
	count := int(data[countOffset])
	body := data[headerSize:]
	updatesLength := len(body) - count*f.recordSize()
	if updatesLength < 0 || updatesLength%updateSize != 0 {
		return message{}, fmt.Errorf("%w: %d bytes with %d records", errMessageLength, len(data), count)
	}
	decoded := message{
		incarnation: uint32(data[incarnationOffset]),
		sequence:    binary.BigEndian.Uint16(data[sequenceOffset:]),
	}
	for range count {
		decoded.records = append(decoded.records, f.decodeRecord(body))
		body = body[f.recordSize():]
	}
	for body = decoded.decodeIdentity(body); len(body) > 0; body = body[updateSize:] {
		if !isIdentityEntry(body) { // else a gateway of an earlier version has forwarded it
			decoded.updates = append(decoded.updates, decodeUpdate(body, now))
		}
	}
	return decoded, nil
}

// decodeRecord decodes the record at the start of data.
func (f messageFormat) decodeRecord(data []byte) usageRecord {
	flags := data[flagsOffset]
	record := usageRecord{
		key:             binary.BigEndian.Uint32(data[keyOffset:]),
		planIndex:       int(flags % plansInFlags),
		fromOwner:       flags&ownerFlag != 0,
		remainingKnown:  flags&remainingKnownFlag != 0,
		ceilingPool:     flags&ceilingPoolFlag != 0,
		total:           float64(binary.BigEndian.Uint16(data[totalOffset:])) / stepsPerWireUnit,
		remaining:       float64(int16(binary.BigEndian.Uint16(data[remainingOffset:]))) / stepsPerWireUnit,
		demand:          float64(binary.BigEndian.Uint16(data[demandOffset:])) / stepsPerWireUnit,
		inFlight:        int(binary.BigEndian.Uint16(data[inFlightOffset:])),
		unacknowledged:  float64(data[unacknowledgedOffset]) / stepsPerWireUnit,
		wantedUnits:     float64(data[wantedOffset]) / stepsPerWireUnit,
		priorityDeficit: float64(data[priorityDeficitOffset]) / maxByte,
	}
	if record.fromOwner {
		record.backoff = float64(data[firstWantedOffset]) * backoffStep
	} else {
		record.firstWantedUnits = float64(data[firstWantedOffset]) / stepsPerWireUnit
	}
	if f.widePlanIndex {
		record.planIndex += int(data[planHighOffset]) * plansInFlags
	}
	return record.scale(f.unitsPerWireUnit)
}

// decodeUpdate decodes the health update at the start of data. The time of the update is now minus the
// encoded age.
func decodeUpdate(data []byte, now Seconds) healthUpdate {
	classIndex := int(data[updateClassOffset])
	if classIndex == loadUpdateByte {
		classIndex = loadUpdate
	}
	return healthUpdate{
		endpointHash: binary.BigEndian.Uint16(data),
		class:        classIndex,
		value:        float64(data[updateValueOffset]) / maxByte,
		at:           now - float64(data[updateAgeOffset])*updateAgeStep,
	}
}

func clamp(value, low, high float64) float64 { return min(max(value, low), high) }

func clampToByte(value float64) byte { return byte(clamp(value, 0, maxByte)) }
