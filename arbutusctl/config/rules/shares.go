package rules

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"arbutusfront.dev/common/coordination/config"
)

// maxSteps bounds the steps in which movedShare counts exactly. That takes about 1 ms, and thousands
// of routes may change at once. More steps are only needed for total weights without large common
// factors, whose remainders are independent of each other.
const maxSteps = 1 << 14

// split is a list of targets in the order of their services, with the position at which each ends.
type split struct {
	services []string
	ends     []int
	total    int
}

// movedShare returns the share of flows whose service changes if packets are assigned by the targets
// after instead of those before. A balancer assigns a flow by the remainder of its hash and the total
// weight, to the target of that position in the order of the services' names (Route.Pick in
// arbutus-balancer/state).
func movedShare(before, after []config.Target) float64 {
	b, a := newSplit(before), newSplit(after)
	if b.total == 0 || a.total == 0 {
		return 0
	}
	period := b.total / greatestDivisor(b.total, a.total) * a.total
	if period/b.total*len(b.ends)+period/a.total*len(a.ends) <= maxSteps {
		return b.movedTo(a, period)
	}
	kept := 0.0
	for _, t := range before {
		for _, u := range after {
			if t.Service == u.Service {
				kept += float64(t.Weight) / float64(b.total) * float64(u.Weight) / float64(a.total)
			}
		}
	}
	return 1 - kept
}

func newSplit(targets []config.Target) split {
	var s split
	sorted := slices.SortedStableFunc(slices.Values(targets), func(a, b config.Target) int {
		return cmp.Compare(a.Service, b.Service)
	})
	for _, t := range sorted {
		if t.Weight > 0 {
			s.total += t.Weight
			s.services, s.ends = append(s.services, t.Service), append(s.ends, s.total)
		}
	}
	return s
}

// equal reports whether each hash selects the same service.
func (s split) equal(other split) bool {
	return slices.Equal(s.services, other.services) && slices.Equal(s.ends, other.ends)
}

// at returns the service that the hash selects, and for how many hashes from there on it does.
func (s split) at(hash int) (service string, count int) {
	position := hash % s.total
	i, _ := slices.BinarySearch(s.ends, position+1)
	return s.services[i], s.ends[i] - position
}

// movedTo returns the share of the hashes below period that select another service in the split after.
func (s split) movedTo(after split, period int) float64 {
	moved := 0
	for hash := 0; hash < period; {
		from, count := s.at(hash)
		to, countAfter := after.at(hash)
		count = min(count, countAfter)
		if from != to {
			moved += count
		}
		hash += count
	}
	return float64(moved) / float64(period)
}

// greatestDivisor returns the greatest common divisor of two positive numbers.
func greatestDivisor(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

// shareOfFlows returns a share of open flows for messages.
func shareOfFlows(share float64) string {
	percent := math.Round(100 * share)
	switch {
	case share >= 1:
		return "all open flows"
	case percent < 1:
		return "less than 1 % of the open flows"
	default:
		return fmt.Sprintf("about %.0f %% of the open flows", percent)
	}
}
