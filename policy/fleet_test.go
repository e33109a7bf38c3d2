package policy

import (
	"fmt"
	"testing"
)

// What many gateways do that is harmless alone.

// large returns one gateway of a fleet of 80, with 60 servers in three zones of four cells each.
func large(t *testing.T) (*Gateway, *recorder) {
	t.Helper()
	s, r := testSettings(), &recorder{}
	s.Gateways = 80
	g, err := New(s, 7, 100, r)
	if err != nil {
		t.Fatal(err)
	}
	g.Servers(100, manyServers(60), true)
	return g, r
}

func manyServers(n int) (list []Server) {
	for i := range n {
		list = append(list, Server{ID: fmt.Sprintf("s%02d", i), Zone: string(rune('a' + i%3)), Cell: i % 12})
	}
	return list
}

// at has a request come that no quota holds.
func at(g *Gateway, now float64, id, class string) {
	g.Request(now, Request{ID: id, Class: class, DeadlineS: now + g.classes[class].DeadlineS, Entries: 1, Units: 1})
}

// A limit of two attempts made requests of a small cluster wait while most of the fleet idled.
func TestFewRequestsAtOnceDoNotWaitForAPartOfTheLimit(t *testing.T) {
	g, r := large(t)
	if g.limit >= 3 {
		t.Fatalf("the part of the limit is %.2f: the test needs one under what comes", g.limit)
	}
	g.stretch = 2 * stretchHigh // while answers are slow as well
	for i := range 5 {
		at(g, 100, fmt.Sprint("q", i), "read")
	}
	if n := len(r.of("send", "")); n != 5 {
		t.Fatalf("%d of 5 sent at once", n)
	}
	for i := range 60 {
		at(g, 100, fmt.Sprint("more", i), "read")
	}
	if n := len(r.of("send", "")); n > 15 {
		t.Fatalf("%d attempts out: nothing bounds a gateway any more", n)
	}
}

// Where a gateway sees a good part of all requests its limit stays what it was.
func TestFewGatewaysKeepToTheirLimit(t *testing.T) {
	g, r := gateway(t, nil)
	g.stretch = 2 * stretchHigh
	for i := range 60 {
		at(g, 100, fmt.Sprint("q", i), "read")
	}
	if n := len(r.of("send", "")); float64(n) > g.limit {
		t.Fatalf("%d attempts out over a limit of %.2f", n, g.limit)
	}
}
