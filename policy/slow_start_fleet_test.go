package policy

import (
	"flag"
	"fmt"
	"testing"
)

// TestFleetKeepsToTheSlowStartBound checks that the gateways of a fleet together send each warming endpoint
// at most overloadBound attempts in any window of OverloadWindow. One, some or most of the endpoints restart.
// Gateways get uneven traffic and learn of the restarts at different times. The load is up to 1.2 times the
// capacity of all endpoints. With faults, there is also a burst of requests, endpoint lists arrive late, and
// gateways restart. The count includes retries and hedges of gateways and retries of clients. It excludes
// attempts from gateways that have not learned of the restart. Warming endpoints must also get a minimum
// number of attempts, so that the test fails if the gateways send them nothing.
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

// simulatedLoads returns the loads to simulate for a fleet, as fractions of its capacity. Simulations of
// large fleets are slow, so they get a single load.
func simulatedLoads(gatewaysTimesEndpoints int, faults bool) []float64 {
	if faults && gatewaysTimesEndpoints > 5000 || gatewaysTimesEndpoints > 20_000 {
		return []float64{0.8}
	}
	return []float64{0.4, 0.8, 1.2}
}

var largestFleets = flag.Bool("slowstart.largest", false, "simulate slow starts in the largest fleets too, for minutes")

// TestSlowStartInTheLargestFleets runs the simulation with faults for 900 gateways and 3,200 endpoints.
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

// checkSlowStart fails the test if a warming endpoint got more attempts in a window than overloadBound, or if
// all warming endpoints together got fewer than a minimum.
func (f *fleetSimulation) checkSlowStart(t *testing.T) {
	t.Helper()
	ratio, windowDescription := f.worstOverload()
	if ratio > 1 {
		t.Errorf("load %.1f: %s", f.load, windowDescription)
	}
	t.Logf("load %.1f: %.2f of the bound", f.load, ratio)
	warming := float64(f.restartingEndpoints())
	least := 0.05 * f.load * f.serviceRate * warming * (simulationEnd - restartAt)
	if f.faults || f.fleetCase.gateways < 5 { // warm endpoints may then get almost all attempts
		least = min(least, 1)
	}
	if sent := f.sentToRestarted(); float64(sent) < least {
		t.Errorf("load %.1f: warming endpoints got %d attempts, want at least %.0f", f.load, sent, least)
	}
}
