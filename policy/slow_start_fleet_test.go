package policy

import (
	"flag"
	"fmt"
	"testing"
)

// Guards the bound on what all gateways together send to a warming endpoint, in any window in which it could
// fail: from one gateway to 900 and from two endpoints to 3,200, that see uneven traffic and hear of the restarts
// at different times, with one, some and most of the endpoints restarting, and with more asked for than all of
// them can do; without faults, and with bursts, late lists and gateways that restart. Retries and hedges of the
// gateways and retries of the clients count; what a gateway sends that has not heard of the restart does not. And
// the bound must not be kept by sending nothing.
func TestFleetKeepsToTheSlowStartBound(t *testing.T) {
	for _, size := range []struct {
		gateways, endpoints int
		serviceRate         float64
	}{
		{1, 2, defaultServiceRate},
		{1, 20, defaultServiceRate},
		{3, 12, defaultServiceRate},
		{5, 20, defaultServiceRate},
		{12, 20, defaultServiceRate},
		{13, 20, defaultServiceRate},
		{20, 20, defaultServiceRate},
		{30, 20, defaultServiceRate},
		{80, 60, defaultServiceRate},
		{300, 60, defaultServiceRate},
		{350, 40, defaultServiceRate},
		{300, 200, 6},
	} {
		restarting := map[string]float64{"one": 1 / float64(size.endpoints), "some": 0.35, "most": 0.95}
		for name, fraction := range restarting {
			for _, faults := range []bool{false, true} {
				title := fmt.Sprintf("%d gateways, %d endpoints, %s warming, faults %t", size.gateways, size.endpoints, name, faults)
				t.Run(title, func(t *testing.T) {
					t.Parallel()
					for i, load := range simulatedLoads(size.gateways*size.endpoints, faults) {
						simulateFleet(fleetCase{
							gateways: size.gateways, endpoints: size.endpoints, restarting: fraction + 0.001,
							load: load, seed: uint64(i + size.gateways), serviceRate: size.serviceRate, faults: faults,
						}).checkSlowStart(t)
					}
				})
			}
		}
	}
}

// simulatedLoads returns the loads that a fleet is simulated with: one alone for the largest, which take long.
func simulatedLoads(gatewaysTimesEndpoints int, faults bool) []float64 {
	if faults && gatewaysTimesEndpoints > 5000 || gatewaysTimesEndpoints > 20_000 {
		return []float64{0.8}
	}
	return []float64{0.4, 0.8, 1.2}
}

var largestFleets = flag.Bool("slowstart.largest", false, "simulate slow starts in the largest fleets too, for minutes")

// TestSlowStartInTheLargestFleets does the same with 900 gateways and 3,200 endpoints.
func TestSlowStartInTheLargestFleets(t *testing.T) {
	if !*largestFleets {
		t.Skip("run with -slowstart.largest")
	}
	for _, restarting := range []float64{0.1, 0.9} {
		t.Run(fmt.Sprintf("%.1f warming", restarting), func(t *testing.T) {
			t.Parallel()
			simulateFleet(fleetCase{
				gateways: 900, endpoints: 3200, restarting: restarting, load: 0.8, seed: 7, serviceRate: 1.25, faults: true,
			}).checkSlowStart(t)
		})
	}
}

// checkSlowStart holds what the warming endpoints got against the bound, from both sides.
func (f *fleetSimulation) checkSlowStart(t *testing.T) {
	t.Helper()
	ratio, what := f.worstOverload()
	if ratio > 1 {
		t.Errorf("load %.1f: %s", f.load, what)
	}
	t.Logf("load %.1f: %.2f of the bound", f.load, ratio)
	warming := float64(f.restartingEndpoints())
	least := 0.05 * f.load * f.serviceRate * warming * (simulationEnd - restartAt)
	if f.faults || f.fleetCase.gateways < 5 { // a few gateways with little to do have warm endpoints for all of it
		least = min(least, 1)
	}
	if sent := f.sentToRestarted(); float64(sent) < least {
		t.Errorf("load %.1f: warming endpoints got %d attempts, %.0f at least are wanted", f.load, sent, least)
	}
}
