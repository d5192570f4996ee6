package admission

import (
	"time"

	"arbutusfront.dev/common/coordination/config"
)

// What a Queue assumes of request classes, for checks of a configuration before it is in force.
const (
	// AssumedTarget is the target latency of classes that state none.
	AssumedTarget = defaultTarget
	// FirstTrips is how much of the target latency is reserved for the way of packets while no
	// handshake has been observed.
	FirstTrips = roundTrips * initialHandshake
)

// MinTarget returns the shortest target latency for which a request can be planned to be answered in
// time while no duration has been observed. With a shorter one, the time that is reserved for the
// way of packets and for the request itself exceeds the target.
func MinTarget() time.Duration {
	return time.Duration(float64(FirstTrips) / (1 - 2*assumedShare))
}

// Weights returns the weights by which requests of the classes' priorities share a backend server.
func Weights(classes []config.RequestClass) map[int]float64 {
	return weightsOf(config.NewClassCodes(classes))
}
