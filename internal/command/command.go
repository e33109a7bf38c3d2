// Package command reads the arguments of a client's request, as the settings allow it, and writes the request again
// for an endpoint. It knows nothing of sockets; internal/resp finds where a command ends.
package command

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"reedlead/policy"

	"github.com/tidwall/redcon"
)

// The commands that are requests, in any case of their letters.
const (
	Get  = "CALL.GET"  // of an idempotent class
	Post = "CALL.POST" // of any other class, with a body
)

// The arguments of a request, by their index.
const (
	argName = iota
	argCustomer
	argID
	argFields
	argBody // of Post alone

	getArgs  = argFields + 1
	postArgs = argBody + 1
)

// Bounds on the arguments of a request.
const (
	MaxIDLength     = 128     // bytes
	MaxFieldsLength = 1 << 10 // bytes, of all fields together
	MaxTimeoutMS    = 600_000 // milliseconds that a client may wait

	customerLength     = 16 // hex digits
	customerNumberBits = 33
	maxNumber          = 1 << 30 // of a field that the settings do not bound
	maxQuotedBytes     = 40      // bytes of a client's input that an error quotes
)

var (
	errCustomer = errors.New("customer must be 16 lower-case hex digits, a number below 2^33")
	errID       = fmt.Errorf("the request's id must be 1 to %d printable characters without spaces", MaxIDLength)
	errFields   = fmt.Errorf("the fields must be up to %d printable characters without spaces", MaxFieldsLength)
)

// Request is a client's request as it was read: what the decision module needs to know of it, and the arguments
// that are forwarded to an endpoint.
type Request struct {
	policy.Request                // without its deadline
	Timeout        policy.Seconds // how long the client waits for a reply
	Args           [][]byte       // command, customer, id, fields and, of Post, the body
	Size           int            // bytes of all arguments

	timeoutValue span // where the value of the field d stands in the fields
}

// span is a part of a byte string, from start up to end.
type span struct{ start, end int }

// IsRequest reports whether a command of this name is a request.
func IsRequest(name []byte) bool {
	return bytes.EqualFold(name, []byte(Get)) || bytes.EqualFold(name, []byte(Post))
}

// CopyArgs copies the arguments, which lay in the buffer of a reader until then.
func (r *Request) CopyArgs() {
	content, args := make([]byte, 0, r.Size), make([][]byte, len(r.Args))
	for i, arg := range r.Args {
		start := len(content)
		content = append(content, arg...)
		args[i] = content[start:len(content):len(content)]
	}
	r.Args = args
}

// AppendTo appends the request as an endpoint gets it: all arguments as they came, but for the field d, which
// holds the time that remains, in whole milliseconds rounded up.
func (r *Request) AppendTo(b []byte, remaining policy.Seconds) []byte {
	fields := r.Args[argFields]
	timeout := r.timeoutValue
	ms := strconv.AppendInt(make([]byte, 0, 8), max(1, int64(math.Ceil(remaining*1000))), 10)
	b = redcon.AppendArray(b, len(r.Args))
	for i, arg := range r.Args {
		if i != argFields {
			b = redcon.AppendBulk(b, arg)
			continue
		}
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(fields)-(timeout.end-timeout.start)+len(ms)), 10)
		b = append(b, '\r', '\n')
		b = append(b, fields[:timeout.start]...)
		b = append(b, ms...)
		b = append(b, fields[timeout.end:]...)
		b = append(b, '\r', '\n')
	}
	return b
}

// Parser reads requests by the names and bounds of the settings. It never changes, and may be used by many goroutines.
type Parser struct {
	classes      map[string]policy.Class
	plans        map[string]string
	gatewayCount int
	maxUnits     int // 0: not bounded
}

// NewParser returns a parser for requests under the settings.
func NewParser(settings policy.Settings) *Parser {
	p := &Parser{
		classes: map[string]policy.Class{}, plans: map[string]string{},
		gatewayCount: settings.GatewayCount, maxUnits: settings.MaxRequestUnits,
	}
	for _, class := range settings.Classes {
		p.classes[class.Name] = class
	}
	for _, plan := range settings.Plans {
		p.plans[plan.Name] = plan.Name
	}
	return p
}

// Parse reads the arguments of a request, whose name must be one of Get and Post. The arguments are not copied. An
// error is worded for the client.
func (p *Parser) Parse(args [][]byte) (*Request, error) {
	post := bytes.EqualFold(args[argName], []byte(Post))
	want := getArgs
	if post {
		want = postArgs
	}
	if len(args) != want {
		return nil, fmt.Errorf("wrong number of arguments for %s", args[argName])
	}
	customer, id, fields := args[argCustomer], args[argID], args[argFields]
	switch {
	case !isCustomer(customer):
		return nil, errCustomer
	case len(id) == 0 || len(id) > MaxIDLength || !isPrintable(id):
		return nil, errID
	case len(fields) > MaxFieldsLength || !isPrintable(fields):
		return nil, errFields
	}
	request := &Request{Args: args, Request: policy.Request{ID: string(id), Customer: string(customer)}}
	for _, arg := range args {
		request.Size += len(arg)
	}
	if err := p.parseFields(request, string(fields)); err != nil {
		return nil, err
	}
	class := p.classes[request.Class]
	if idempotent := class.Idempotency == policy.Idempotent; idempotent == post {
		return nil, fmt.Errorf("class %s does not go with %s", request.Class, args[argName])
	}
	return request, nil
}

// isCustomer reports whether b is the one spelling of a customer's number.
func isCustomer(b []byte) bool {
	number, err := strconv.ParseUint(string(b), 16, 64)
	return err == nil && len(b) == customerLength && number < 1<<customerNumberBits && !bytes.ContainsAny(b, "ABCDEF")
}

// isPrintable reports whether b holds visible ASCII alone.
func isPrintable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// parseDecimal reads a number from least to most in its one canonical spelling: digits alone, and no 0 ahead of
// others.
func parseDecimal(text string, least, most int) (number int, ok bool) {
	if text == "" || len(text) > 1 && text[0] == '0' || len(text) > len("1000000000") {
		return 0, false
	}
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, false
		}
		number = number*10 + int(c-'0')
	}
	return number, number >= least && number <= most
}

// fieldSet is a set of the fields that are known, one bit each.
type fieldSet uint

// The fields that a request may hold, and those that each must.
const (
	fieldClass fieldSet = 1 << iota
	fieldPlan
	fieldTimeout
	fieldIdempotencyKey
	fieldClientRetry
	fieldUnits
	fieldGatewayCount
	fieldFirstGateway

	requiredFields = fieldClass | fieldPlan | fieldTimeout | fieldUnits | fieldGatewayCount | fieldFirstGateway
)

// fieldNames are the names of the fields on the wire, in the order of their bits.
var fieldNames = []string{"c", "t", "d", "k", "r", "units", "spread", "first"}

// parseFields reads the list of names and values. Fields whose names are not known are forwarded unread.
func (p *Parser) parseFields(request *Request, list string) error {
	var seen fieldSet
	start := 0
	for part := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			return fmt.Errorf("malformed field %.*q", maxQuotedBytes, part)
		}
		if i := slices.Index(fieldNames, name); i >= 0 {
			field := fieldSet(1) << i
			if seen&field != 0 {
				return fmt.Errorf("field %s is given twice", name)
			}
			seen |= field
			if !p.parseField(request, field, value) {
				return fmt.Errorf("field %s: invalid value %.*q", name, maxQuotedBytes, value)
			}
			if field == fieldTimeout {
				request.timeoutValue = span{start + len(name) + len("="), start + len(part)}
			}
		}
		start += len(part) + len(",")
	}
	required := requiredFields
	if p.classes[request.Class].Idempotency == policy.IdempotencyKey {
		required |= fieldIdempotencyKey
	}
	if missing := required &^ seen; missing != 0 {
		return fmt.Errorf("field %s is missing", fieldNames[bits.TrailingZeros(uint(missing))])
	}
	return nil
}

// parseField reads the value of one field and reports whether it is valid.
func (p *Parser) parseField(request *Request, field fieldSet, value string) (ok bool) {
	var number int
	switch field {
	case fieldClass:
		var class policy.Class
		class, ok = p.classes[value]
		request.Class = class.Name
	case fieldPlan:
		request.Plan, ok = p.plans[value]
	case fieldTimeout:
		number, ok = parseDecimal(value, 1, MaxTimeoutMS)
		request.Timeout = policy.Seconds(number) / 1000
	case fieldIdempotencyKey:
		ok = value != ""
	case fieldClientRetry:
		ok = value == "0" || value == "1"
		request.ClientRetry = value == "1"
	case fieldUnits:
		number, ok = parseDecimal(value, 1, cmp.Or(p.maxUnits, maxNumber))
		request.Units = float64(number)
	case fieldGatewayCount:
		request.GatewayCount, ok = parseDecimal(value, 1, p.gatewayCount)
	case fieldFirstGateway:
		request.FirstGateway, ok = parseDecimal(value, 0, p.gatewayCount-1)
	}
	return ok
}
