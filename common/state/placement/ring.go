package placement

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// ringThreshold is the number of candidates from which a ring is used: scoring all
	// of them for each packet would take too long. Crossing it changes the ranking, so
	// it lies above the size that a usual service reaches when it grows by half.
	ringThreshold = 256
	// pointsPerCandidate is the number of virtual nodes of a candidate on the ring.
	// More of them spread flows more evenly, but take more memory and time to sort.
	pointsPerCandidate = 128
)

type (
	// ring is a consistent-hashing ring, sorted by hash. As with rendezvous hashing, a
	// candidate that joins or leaves doesn't change the order of the others.
	ring []point

	// point is one virtual node of a candidate.
	point struct {
		hash uint64
		// candidate is an index into Service.candidates.
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

// firstIndex returns the index of the first point at or after the hash, or 0 past the last one.
// Points are spread almost evenly, so the search starts at the index that the hash would
// have if they were equidistant, and goes to the right point from there.
func (r ring) firstIndex(hash uint64) int {
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
