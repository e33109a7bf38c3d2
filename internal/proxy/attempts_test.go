package proxy

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"

	"reedlead/internal/discovery"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

// TestRequestAndValueAreForwardedUnchanged checks that a command and the value in its reply are forwarded byte for
// byte, except for the field d of the command, which states the remaining time.
func TestRequestAndValueAreForwardedUnchanged(t *testing.T) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), sendEachRequest(300))
	c := h.client()
	body := "b\r\n\x00\xff*$"
	c.send("CALL.POST", testCustomer, "9b1f03aa5c7e2d41", "c=hold,t=basic,k=5c0f,d=600000,units=2,spread=2,first=1,x=y", body)
	b := receive(t, conns)
	want := []string{"CALL.POST", testCustomer, "9b1f03aa5c7e2d41", "c=hold,t=basic,k=5c0f,d=N,units=2,spread=2,first=1,x=y", body}
	got := b.readCommand()
	var remainingMS int
	if len(got) == 5 {
		before, rest, _ := strings.Cut(got[3], ",d=")
		value, after, _ := strings.Cut(rest, ",")
		remainingMS, _ = strconv.Atoi(value) // 0 if malformed, which fails the check below
		got[3] = before + ",d=N," + after
	}
	if !slices.Equal(got, want) {
		t.Fatalf("the endpoint got %q, want %q", got, want)
	}
	if remainingMS < 1 || remainingMS > 300000 { // at most the attempt's timeout of 300 s
		t.Errorf("the field d is %d, want 1 to 300000", remainingMS)
	}
	q := receive(t, h.decider.requests)
	if q.Class != "hold" || q.Plan != "basic" || q.Customer != testCustomer || q.Units != 2 || q.GatewayCount != 2 || q.FirstGateway != 1 {
		t.Errorf("the decision module got the request %+v", q)
	}
	reply := "*3\r\n$7\r\n\r\n$1\r\n!\r\n$-1\r\n"
	b.write(string(redcon.AppendBulkString([]byte(reply), "cpu_share=0.25,served_ps=140,svc_ms=14.5,new=1")))
	if length := c.readLine(); length != "$7" {
		t.Fatalf("the client got the line %q, want the length of the value", length)
	}
	value := make([]byte, 9)
	if _, err := io.ReadFull(c.reader, value); err != nil || string(value) != "\r\n$1\r\n!\r\n" {
		t.Errorf("the client got the value %q, error %v", value, err)
	}
	o := receive(t, h.decider.outcomes)
	if o.Status != policy.OK || !o.RequestDone || o.Load == nil || o.Load.Utilization != 0.25 || o.Load.ServiceTimeMS != 14.5 || o.Load.Queued != -1 {
		t.Errorf("the decision module got the outcome %+v", o)
	}
}

// TestAttemptOutcomes checks the status that the decision module gets for different replies, closed connections and a
// refused dial. From the status, the decision module tells whether the endpoint may have executed the command.
func TestAttemptOutcomes(t *testing.T) {
	addr, conns := listenEndpoint(t)
	for name, tc := range map[string]struct {
		reply string // "" closes the connection after the command
		want  policy.AttemptStatus
		load  bool
	}{
		"value":            {valueReply, policy.OK, false},
		"error":            {"-ERR failed\r\n", policy.Error, false},
		"error and load":   {"-ERR failed cpu_share=0.5\r\n", policy.Error, true},
		"busy and load":    {"-BUSY cpu_share=0.5\r\n", policy.Rejected, true},
		"closed":           {"", policy.Reset, false},
		"half and closed":  {"*3\r\n$10\r\nab", policy.Reset, false},
		"garbage":          {"\x00\x01\x02", policy.Error, false},
		"oversized length": {"*3\r\n$65537\r\nab", policy.Error, false},
		"negative length":  {"*3\r\n$-7\r\n", policy.Error, false},
		"null value":       {"*3\r\n$-1\r\n$-1\r\n$-1\r\n", policy.Error, false},
		"no array":         {"$1\r\nv\r\n", policy.Error, false},
		"empty array":      {"*0\r\n", policy.Error, false},
		"unreadable load":  {"*3\r\n$1\r\nv\r\n$-1\r\n$3\r\n%=%\r\n", policy.OK, false},
		"value and more":   {"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n$1\r\nw\r\n", policy.OK, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := startProxy(t, testConfig(addr), sendEachRequest(0))
			c := h.client()
			c.send(lookCommand("a")...)
			b := receive(t, conns)
			b.readCommand()
			if b.write(tc.reply); tc.reply == "" || strings.HasPrefix(name, "half") {
				b.mustClose()
			}
			o := receive(t, h.decider.outcomes)
			if o.Status != tc.want || o.RequestDone != (tc.want == policy.OK) || (o.Load != nil) != tc.load {
				t.Errorf("got the outcome %+v, want status %v", o, tc.want)
			}
			if tc.want == policy.OK {
				c.wantValue("the client's reply")
			}
		})
	}
	t.Run("refused", func(t *testing.T) {
		listener := listenLoopback(t, net.ListenConfig{})
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		h := startProxy(t, testConfig(listener.Addr().String()), sendEachRequest(0))
		h.client().send(lookCommand("a")...)
		h.wantOutcome(policy.ConnectFailed)
	})
}

// TestConnectionOfAbandonedAttemptIsNotReused checks that the connection of an attempt gets no other command after the
// attempt has timed out or was cancelled. Its late reply would be taken for the reply to that command.
func TestConnectionOfAbandonedAttemptIsNotReused(t *testing.T) {
	for _, how := range []string{"timeout", "cancel"} {
		t.Run(how, func(t *testing.T) {
			h, c, b, _ := startWithAttempt(t)
			want := policy.Timeout
			if how == "cancel" {
				want = policy.Cancelled
				h.onLoop(func() { h.proxy.Cancel("a", 0); h.proxy.Cancel("a", 0) })
			} else {
				h.onLoop(func() { h.proxy.attempts.handleTimeout(h.proxy.requests.byID["a"].attempts[0]) })
			}
			if o := receive(t, h.decider.outcomes); o.Status != want || o.RequestDone {
				t.Errorf("got the outcome %+v, want status %v", o, want)
			}
			if b.readCommand() != nil {
				t.Error("another command was sent on the connection of an abandoned attempt")
			}
			h.onLoop(func() { h.proxy.Reject("a", 0.25, policy.QuotaExceeded) })
			c.wantLines("-BUSY 250")
			if len(h.decider.outcomes) != 0 {
				t.Error("the outcome of one attempt was reported twice")
			}
		})
	}
}

// TestAttemptIsRecheckedAfterDial checks that an attempt is not sent if its endpoint is drained or removed, or its
// request ends, while the attempt waits for a dial.
func TestAttemptIsRecheckedAfterDial(t *testing.T) {
	addr, conns := listenEndpoint(t)
	for name, change := range map[string]func(*harness){
		"draining": func(h *harness) {
			h.changeEndpoint(func(e *discovery.Endpoint) { e.State = discovery.StateTerminating })
		},
		"removed":          func(h *harness) { h.proxy.applyList(discovery.List{Full: true}) },
		"request rejected": func(h *harness) { h.proxy.Reject("a", 0, policy.QuotaExceeded) },
	} {
		t.Run(name, func(t *testing.T) {
			dialing, unblockDial := make(chan struct{}), make(chan struct{})
			h := startProxy(t, testConfig(addr), func(h *harness) {
				sendEachRequest(0)(h)
				h.beforeDial(func(string) error {
					close(dialing)
					<-unblockDial
					return nil
				})
			})
			h.client().send(lookCommand("a")...)
			receive(t, dialing)
			h.onLoop(func() { change(h) })
			close(unblockDial)
			h.wantOutcome(policy.NotSent)
			h.wantNoCommand(receive(t, conns))
		})
	}
}

// TestHealthCheckReportsLoad checks that a health check sends INFO, and that the decision module gets the load report.
func TestHealthCheckReportsLoad(t *testing.T) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), nil)
	h.onLoop(func() { h.proxy.HealthCheck("s0") })
	b := receive(t, conns)
	if got := b.readCommand(); fmt.Sprint(got) != "[INFO load]" {
		t.Fatalf("the endpoint got %q, want INFO load", got)
	}
	b.write("$13\r\ncpu_share=0.5\r\n")
	if p := receive(t, h.decider.healthChecks); p.Status != policy.OK || p.Load == nil || p.Load.Utilization != 0.5 {
		t.Errorf("the decision module got the result %+v, want OK with a utilization of 0.5", p)
	}
}
