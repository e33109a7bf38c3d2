package command

import (
	"fmt"
	"strings"
	"testing"

	"reedlead/internal/resp"
	"reedlead/policy"
)

const (
	testCustomer = "00000000b4d65521"
	testFields   = "c=look,t=basic,d=480,units=2,spread=2,first=1"
)

// testParser returns a parser for two gateways, one plan, and one class of each kind of idempotency.
func testParser() *Parser {
	return NewParser(policy.Settings{
		GatewayCount: 2, MaxRequestUnits: 6,
		Classes: []policy.Class{
			{Name: "look", Idempotency: policy.Idempotent},
			{Name: "hold", Idempotency: policy.IdempotencyKey},
			{Name: "bill", Idempotency: policy.NonIdempotent},
		},
		Plans: []policy.Plan{{Name: "basic"}},
	})
}

// arguments returns the arguments of a command as byte slices.
func arguments(args ...string) [][]byte {
	list := make([][]byte, len(args))
	for i, arg := range args {
		list[i] = []byte(arg)
	}
	return list
}

// parseGet returns the error of parsing a Get request.
func parseGet(customer, id, fields string) error {
	_, err := testParser().Parse(arguments(Get, customer, id, fields))
	return err
}

// FuzzParse checks that every accepted request is within the bounds, and that parsing the command forwarded to the
// endpoint gives the same request.
func FuzzParse(f *testing.F) {
	f.Add(Get, testCustomer, "a", "c=look,t=basic,d=600000,units=2,spread=2,first=1", "")
	f.Add(Post, testCustomer, "a", "c=hold,t=basic,k=5c0f,d=1,units=2,spread=2,first=1,x=y", "body")
	f.Add("call.get", testCustomer, "a", "c=look,t=basic,d=0x1p4,units=+2,spread=1e0,first=01", "")
	f.Add(Get, testCustomer, "a", "d==,,=,d=1,d=1", "")
	parser := testParser()
	f.Fuzz(func(t *testing.T, name, customer, id, fields, body string) {
		args := arguments(name, customer, id, fields)
		if body != "" {
			args = append(args, []byte(body))
		}
		request, err := parser.Parse(args)
		if err != nil {
			return
		}
		if request.Units < 1 || request.Units > 6 || request.GatewayCount < 1 || request.GatewayCount > 2 ||
			request.FirstGateway < 0 || request.FirstGateway > 1 || request.Timeout <= 0 ||
			request.Timeout > MaxTimeoutMS/1000 || request.Class == "" || request.Plan != "basic" {
			t.Fatalf("accepted a request out of bounds: %+v", request)
		}
		request.CopyArgs()
		sent := request.AppendTo(nil, request.Timeout)
		again, n, err := resp.ParseCommand(sent, nil)
		if n != len(sent) || err != nil || len(again) != len(args) {
			t.Fatalf("forwarded %q: ParseCommand returns size %d, %v", sent, n, err)
		}
		read, err := parser.Parse(again)
		if err != nil || read.Request != request.Request || read.Timeout != request.Timeout {
			t.Fatalf("forwarded request parses as %+v, %v; want %+v", read, err, request)
		}
	})
}

// TestParseAcceptsOnlyCanonicalRequests checks that Parse accepts only the canonical spelling of numbers and customers,
// and rejects ids and fields that are too long or invalid. An endpoint might parse another spelling of a number
// differently, and another spelling of a customer would count as a different customer.
func TestParseAcceptsOnlyCanonicalRequests(t *testing.T) {
	if err := parseGet(testCustomer, "a", testFields); err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"d=480", "units=2", "spread=2", "first=1"} {
		name, _, _ := strings.Cut(field, "=")
		for _, value := range []string{
			"", "+1", "-1", "01", "1.0", "2.5", "1e0", "0x1", "0x1p0", "1_0", " 1", "１", "NaN",
			"Inf", "99999999999999999999", "1000000000",
		} {
			fields := strings.Replace(testFields, field, name+"="+value, 1)
			if parseGet(testCustomer, "a", fields) == nil {
				t.Errorf("fields %s are accepted", fields)
			}
		}
	}
	for _, other := range []string{"00000000B4D65521", "+0000000b4d65521", "0x000000b4d65521", "b4d65521", ""} {
		if parseGet(other, "a", testFields) == nil {
			t.Errorf("customer %q is accepted", other)
		}
	}
	for _, id := range []string{"a b", "a\x00", "a\r\n", "\xff", "\u00a0", strings.Repeat("x", MaxIDLength+1)} {
		if parseGet(testCustomer, id, testFields) == nil {
			t.Errorf("id %q is accepted", id)
		}
	}
	for _, more := range []string{",x=\r\n", ",x=\xff", ",x=" + strings.Repeat("y", MaxFieldsLength), ",k=", ",r=2"} {
		if parseGet(testCustomer, "a", testFields+more) == nil {
			t.Errorf("fields %.40q are accepted", fmt.Sprint("...", more))
		}
	}
}

func BenchmarkParse(b *testing.B) {
	parser := testParser()
	args := arguments(Get, testCustomer, "9b1f03aa5c7e2d41", "c=look,t=basic,d=600000,units=2,spread=2,first=1")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parser.Parse(args); err != nil {
			b.Fatal(err)
		}
	}
}
