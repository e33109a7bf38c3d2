// Package command parses and validates the arguments of a client's request, and encodes the request for an endpoint.
// It does not read from connections; internal/resp finds the end of a command.
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

// The commands that are requests. Their names are not case-sensitive.
const (
	Get  = "CALL.GET"  // for idempotent classes
	Post = "CALL.POST" // for all other classes, with a body
)

// Indexes of a request's arguments, and the number of arguments of each command, including its name.
const (
	argName = iota
	argCustomer
	argID
	argFields
	argBody // Post only

	getArgs  = argFields + 1
	postArgs = argBody + 1
)

// Bounds on the arguments of a request.
const (
	MaxIDLength     = 128     // bytes
	MaxFieldsLength = 1 << 10 // bytes, all fields together
	MaxTimeoutMS    = 600_000 // longest timeout of a request, in milliseconds

	customerLength      = 16 // hex digits
	customerNumberBits  = 33
	defaultMaxUnits     = 1 << 30 // maximum number of units per request if the settings have no limit
	maxQuotedCharacters = 40      // maximum number of characters of a field that an error message quotes
)

var (
	errCustomer = errors.New("customer must be 16 lower-case hex digits, a number below 2^33")
	errID       = fmt.Errorf("the request's id must be 1 to %d printable characters without spaces", MaxIDLength)
	errFields   = fmt.Errorf("the fields must be up to %d printable characters without spaces", MaxFieldsLength)
)

// Request is a parsed request of a client: the part that the decision module needs, and the arguments to forward to an
// endpoint.
type Request struct {
	policy.Request                // Deadline is not set
	Timeout        policy.Seconds // time after which the client stops waiting for a reply
	Args           [][]byte       // command, customer, id, fields and, for Post, the body
	Size           int            // bytes in all arguments together

	timeoutValue span // position of the value of field d within the fields argument
}

// span is the half-open range [start, end) of a byte slice.
type span struct{ start, end int }

// IsRequest reports whether name is the name of a request command. It ignores case.
func IsRequest(name []byte) bool {
	return bytes.EqualFold(name, []byte(Get)) || bytes.EqualFold(name, []byte(Post))
}

// CopyArgs copies the arguments out of the read buffer that they point into, so that the buffer can be reused.
func (r *Request) CopyArgs() {
	content, args := make([]byte, 0, r.Size), make([][]byte, len(r.Args))
	for i, arg := range r.Args {
		start := len(content)
		content = append(content, arg...)
		args[i] = content[start:len(content):len(content)]
	}
	r.Args = args
}

// AppendTo appends the request, encoded for an endpoint, to b. Arguments are forwarded unchanged, except that field d
// is set to the remaining time in milliseconds, rounded up and at least 1.
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

// Parser parses requests and checks them against the settings. It is immutable, and so safe for concurrent use.
type Parser struct {
	classes      map[string]policy.Class
	plans        map[string]string // maps each plan's name to itself, so that Request.Plan need not point into the parsed text
	gatewayCount int
	maxUnits     int // maximum number of units per request; 0 stands for defaultMaxUnits
}

// NewParser returns a parser that checks classes, plans, gateways and units against the settings.
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

// Parse parses the arguments of a request. args[0] must be Get or Post; case is ignored. Request.Args is args itself, not
// a copy. The client gets the text of the error.
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

// ParseWithoutBody is like Parse for a request whose body is not known. args holds at least the name of the command; its
// arguments from the body on are ignored.
func (p *Parser) ParseWithoutBody(args [][]byte) (*Request, error) {
	if bytes.EqualFold(args[argName], []byte(Post)) && len(args) >= argBody {
		args = append(args[:argBody:argBody], nil)
	}
	return p.Parse(args)
}

// isCustomer reports whether b is the canonical spelling of a customer's number. Another spelling of the same number
// would count as another customer with a quota of its own.
func isCustomer(b []byte) bool {
	number, err := strconv.ParseUint(string(b), 16, 64)
	return err == nil && len(b) == customerLength && number < 1<<customerNumberBits && !bytes.ContainsAny(b, "ABCDEF")
}

// isPrintable reports whether b consists of visible ASCII characters.
func isPrintable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// parseDecimal parses a number between least and most. It accepts the canonical spelling only: digits without leading
// zeros.
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

// fieldSet is a bit set of known fields.
type fieldSet uint

// The known fields, and the set of fields that every request must have.
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

// fieldNames holds the names of the known fields on the wire, in the order of their bits.
var fieldNames = []string{"c", "t", "d", "k", "r", "units", "spread", "first"}

// parseFields parses a comma-separated list of name=value fields into request. The value of a field with an unknown
// name is not checked.
func (p *Parser) parseFields(request *Request, list string) error {
	var seen fieldSet
	start := 0
	for part := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			return fmt.Errorf("malformed field %.*q", maxQuotedCharacters, part)
		}
		if i := slices.Index(fieldNames, name); i >= 0 {
			field := fieldSet(1) << i
			if seen&field != 0 {
				return fmt.Errorf("field %s is given twice", name)
			}
			seen |= field
			if !p.parseField(request, field, value) {
				return fmt.Errorf("field %s: invalid value %.*q", name, maxQuotedCharacters, value)
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

// parseField reports whether the value of one field is valid. It stores the value in request, unless the field is the
// idempotency key.
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
		number, ok = parseDecimal(value, 1, cmp.Or(p.maxUnits, defaultMaxUnits))
		request.Units = float64(number)
	case fieldGatewayCount:
		request.GatewayCount, ok = parseDecimal(value, 1, p.gatewayCount)
	case fieldFirstGateway:
		request.FirstGateway, ok = parseDecimal(value, 0, p.gatewayCount-1)
	}
	return ok
}
