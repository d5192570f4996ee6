package admission

import (
	"maps"
	"math"
	"slices"

	"arbutusfront.dev/common/coordination/config"
)

const (
	// priorityWeight is the ratio of the weights of two successive priorities.
	priorityWeight = 1.5
	// minWeightShare is the smallest weight of a priority as a share of the mean, so that the
	// lowest priority gets at least half of an equal share.
	minWeightShare = 0.5
	// remoteWeight is the weight of callers of other failure domains, relative to those of this
	// one. While all failure domains are overloaded, each serves mainly its own callers; one
	// that has lost its backend servers still gets a share everywhere.
	remoteWeight = 0.25
)

// weightsOf returns the weights of the classes' priorities. Their mean is 1.
func weightsOf(codes config.ClassCodes) map[int]float64 {
	weights := make(map[int]float64)
	for c := range codes {
		weights[c.Priority] = 0
	}
	priorities := slices.Sorted(maps.Keys(weights))
	for _, priority := range priorities {
		weights[priority] = math.Pow(priorityWeight, float64(priorities[0]-priority))
	}
	// The smallest weights, those of the last priorities, are raised. The first n share what is left
	// in their former ratios.
	for n := len(priorities); n > 0; n-- {
		sum := 0.0
		for _, priority := range priorities[:n] {
			sum += weights[priority]
		}
		left := float64(len(priorities)) - minWeightShare*float64(len(priorities)-n)
		if last := priorities[n-1]; weights[last]/sum*left < minWeightShare {
			weights[last] = minWeightShare
			continue
		}
		for _, priority := range priorities[:n] {
			weights[priority] *= left / sum
		}
		break
	}
	return weights
}
