// Package load compares what agents' backend servers have to do.
//
// # Usage
//
//	if own.Exceeds(other, slots) { passOn() }
package load

const (
	// An agent has clearly fewer flows if they are fewer by flowMargin, and by one
	// part in flowMarginParts.
	flowMargin      = 2
	flowMarginParts = 50
	// requestMargin is by how many requests an agent is clearly less busy.
	requestMargin = 2
)

// Load is what an agent's backend server has to do at one moment.
type Load struct {
	// Flows are those that it holds, most of which may be idle.
	Flows int
	// Requests are those that are in flight to the backend server, or wait for
	// room there.
	Requests int
}

// Exceeds reports whether the load is clearly more than the other, on backend
// servers that run as many requests at once as they have slots. While one of them
// has more requests than slots the requests decide, otherwise the flows.
func (l Load) Exceeds(other Load, slots int) bool {
	difference := l.Requests - other.Requests
	if max(l.Requests, other.Requests) > slots && max(difference, -difference) >= requestMargin {
		return difference > 0
	}
	return l.Flows > other.Flows+max(flowMargin, l.Flows/flowMarginParts)
}
