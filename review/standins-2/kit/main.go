package kit

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun is the time after which a case gives up.
const maxRun = 110 * time.Second

// Case is one run of a case.
type Case struct {
	*Platform
	*Record
	Trouble bool // whether the disruption happens
}

// Main runs a case: the first argument is the folder for record.txt, the second one the root of the repository. The
// function returns whether the rule held. TROUBLE=0 leaves the disruption out.
func Main(run func(c *Case) (held bool, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER ROOT")
		os.Exit(CouldNot)
	}
	record := NewRecord(os.Args[1])
	platform, err := NewPlatform(os.Args[2], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "case:", err)
		os.Exit(CouldNot)
	}
	c := &Case{Platform: platform, Record: record, Trouble: os.Getenv("TROUBLE") != "0"}
	code := make(chan int, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				record.Say("could not run: %v", cause)
				code <- CouldNot
			}
		}()
		switch held, err := run(c); {
		case err != nil:
			record.Say("could not run: %v", err)
			code <- CouldNot
		case held:
			record.Say("the rule held")
			code <- Held
		default:
			record.Say("the rule was broken")
			code <- Broken
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	// Without this a reader of the output that has gone would end the case before it has ended its gateways.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	result := CouldNot
	select {
	case result = <-code:
	case s := <-signals:
		record.Say("could not run: %v", s)
	case <-time.After(maxRun):
		record.Say("could not run: it takes too long")
	}
	platform.Close()
	record.Close()
	os.Exit(result)
}

// Endpoints starts n endpoints of one pod, and an agent that lists them as started long ago.
func (c *Case) Endpoints(n int, handle func(Call) Answer) (endpoints []*Endpoint, agent *Agent, err error) {
	var entries []Entry
	for i := range n {
		e, err := NewEndpoint(fmt.Sprintf("s%d", i), "", handle)
		if err != nil {
			return nil, nil, err
		}
		endpoints = append(endpoints, e)
		entries = append(entries, e.Entry())
	}
	agent, err = NewAgent(entries)
	return endpoints, agent, err
}

// Entry returns the entry of an endpoint in service.
func (e *Endpoint) Entry() Entry {
	return Entry{ID: e.ID, Addr: e.Addr, Zone: "floor-1", Kind: "c2-full", Cell: 1, State: "in_service", Weight: 1}
}

// OneGateway starts a single gateway.
func (c *Case) OneGateway(agent *Agent, o Options) (*Gateway, error) {
	o.Gateways = 1
	g, err := c.NewGateway("n0", FreeTCP(), agent.Addr, fmt.Sprintf("%x", time.Now().UnixNano()), o, 0, nil, agent.Known())
	if err != nil {
		return nil, err
	}
	return g, g.Start()
}
