package policy

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// The number of points on the ring. More points spread customers more evenly; fewer points use less memory.
const (
	maxPointsPerGateway = 512  // used in small fleets
	minPointsPerGateway = 8    // used in very large fleets, even if the total exceeds maxRingPoints
	maxRingPoints       = 8192 // limits the total in other fleets
)

// ringPoint is a position of a gateway on the ring. Each gateway has several.
type ringPoint struct {
	hash    uint64
	gateway int
}

// ownerRing is a consistent-hash ring of gateway numbers. It depends only on the number of gateways, so all
// gateways of a fleet compute the same ring.
type ownerRing struct {
	points []ringPoint // sorted by hash
}

// newOwnerRing returns the ring of the gateways 0 to gatewayCount-1.
func newOwnerRing(gatewayCount int) ownerRing {
	perGateway := min(maxPointsPerGateway, max(minPointsPerGateway, maxRingPoints/gatewayCount))
	points := make([]ringPoint, 0, gatewayCount*perGateway)
	for gateway := range gatewayCount {
		for i := range perGateway {
			hash := mixBits(uint64(gateway)<<32 | uint64(i))
			points = append(points, ringPoint{hash: hash, gateway: gateway})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.gateway, b.gateway))
	})
	return ownerRing{points: points}
}

// successor returns the first accepted gateway on the ring, starting at hash. found is false if no gateway is
// accepted.
func (r ownerRing) successor(hash uint64, accept func(gateway int) bool) (gateway int, found bool) {
	compareHash := func(point ringPoint, hash uint64) int { return cmp.Compare(point.hash, hash) }
	first, _ := slices.BinarySearchFunc(r.points, hash, compareHash)
	for i := range r.points {
		point := r.points[(first+i)%len(r.points)]
		if accept(point.gateway) {
			return point.gateway, true
		}
	}
	return 0, false
}

// mixBits spreads each bit of x over the whole result. It is one step of the splitmix64 generator.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashName returns the hash of a customer's name or an endpoint's ID. It is the same at all gateways, because
// peer messages identify customers and endpoints by parts of it.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // never fails
	return mixBits(hash.Sum64())
}
