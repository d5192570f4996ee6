package experiment

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// The baselines are simulations. They assign the same number of flows by another rule,
// and count those whose packets would reach a backend server that does not hold them
// after the same changes.
type (
	// Baseline is the outcome of one rule.
	Baseline struct {
		Name string `json:"name"`
		// Ended is the number of flows that the changes end, without those whose backend
		// server failed or whose failure domain was taken out.
		Ended int `json:"ended"`
		// MaxOverMean is the imbalance of the flows when they are opened, as in Sample.
		MaxOverMean float64 `json:"max_over_mean"`
	}

	// Step is the state of the service's backend servers from one change to the next.
	Step struct {
		// Servers are the backend servers that accept new flows.
		Servers []string
		// Alive reports for each backend server whether its flows can continue: it runs and
		// its failure domain is not out.
		Alive map[string]bool
	}
)

// Baselines simulates n flows over the steps under two rules, and returns their outcomes:
// plain hashing, and hashing with fallback to the owner before the last change.
func Baselines(n int, steps []Step) []Baseline {
	return []Baseline{
		simulate("plain hashing", n, steps, false),
		simulate("one previous owner", n, steps, true),
	}
}

// simulate assigns n flows by hash modulo the number of backend servers and follows them
// through the steps. A flow lasts while its packets reach its holder: the current owner of
// its hash or, with tryPrevious, the owner before the last change.
func simulate(name string, n int, steps []Step, tryPrevious bool) Baseline {
	b := Baseline{Name: name}
	held := make(map[string]int)
	for i := range n {
		holder := owner(steps[0], i)
		held[holder]++
		for j := 1; j < len(steps); j++ {
			if !steps[j].Alive[holder] {
				break
			}
			if owner(steps[j], i) != holder && (!tryPrevious || owner(steps[j-1], i) != holder) {
				b.Ended++
				break
			}
		}
	}
	b.MaxOverMean = imbalance(held)
	return b
}

// owner returns the backend server that the flow's hash selects.
func owner(s Step, flow int) string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(flow))
	return s.Servers[xxh3.Hash(b[:])%uint64(len(s.Servers))]
}
