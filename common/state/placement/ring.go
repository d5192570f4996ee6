package placement

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// ringThreshold is the number of candidates from which they are placed on a
	// ring: ranking each of them for each packet would take too long.
	// Crossing it changes the ranking, so it is more than a service has that grows by
	// half from a usual size.
	ringThreshold = 256
	// pointsPerCandidate sets how evenly a ring shares out flows.
	pointsPerCandidate = 128
)

type (
	// ring is a consistent-hashing ring. As with the ranking, a candidate that
	// joins or leaves does not change the order of the others.
	ring []point

	point struct {
		hash      uint64
		candidate uint32
	}
)

func newRing(candidates []Candidate) ring {
	r := make(ring, 0, len(candidates)*pointsPerCandidate)
	for i, c := range candidates {
		seed := xxh3.HashString(c.Name)
		for j := range uint64(pointsPerCandidate) {
			r = append(r, point{hash: score(seed, xxh3.HashSeed(nil, j)), candidate: uint32(i)})
		}
	}
	slices.SortFunc(r, func(a, b point) int {
		return cmp.Or(
			cmp.Compare(a.hash, b.hash),
			cmp.Compare(candidates[b.candidate].Instance, candidates[a.candidate].Instance),
		)
	})
	return r
}

// start returns the index of the first point at or after the hash. Points are
// spread evenly, so the search starts where the hash should be.
func (r ring) start(hash uint64) int {
	n := len(r)
	i := int(hash >> 32 * uint64(n) >> 32)
	for i > 0 && r[i-1].hash >= hash {
		i--
	}
	for i < n && r[i].hash < hash {
		i++
	}
	if i == n {
		return 0
	}
	return i
}
