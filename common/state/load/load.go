// Package load compares the load of agents' backend servers, to decide which agent
// takes a new flow.
//
// # Usage
//
//	if own.Exceeds(other, slots) { forwardTo(otherAgent) }
package load

const (
	// Flow counts differ significantly only if they differ by more than minFlowMargin
	// and by more than 1/flowMarginDivisor of the larger count.
	minFlowMargin     = 2
	flowMarginDivisor = 50
	// requestMargin is the smallest significant difference in requests.
	requestMargin = 2
)

// Load is a snapshot of the load of one agent's backend server.
type Load struct {
	// Flows counts the flows that the agent holds; most of them may be idle.
	Flows int
	// Requests counts the requests in flight to the backend server and those
	// queued until it has capacity.
	Requests int
}

// Exceeds reports whether l is significantly higher than other. Slots is the number
// of requests that a backend server runs concurrently. If at least one of the two has
// more requests than slots and the requests differ by requestMargin or more, they
// decide; otherwise the flow counts do.
func (l Load) Exceeds(other Load, slots int) bool {
	difference := l.Requests - other.Requests
	if max(l.Requests, other.Requests) > slots && max(difference, -difference) >= requestMargin {
		return difference > 0
	}
	return l.Flows > other.Flows+max(minFlowMargin, l.Flows/flowMarginDivisor)
}
