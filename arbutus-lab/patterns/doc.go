// Package patterns simulates load patterns against the placement decisions of balancers and
// agents, in virtual time and without a network: bursts, backlogs after a power loss, retry
// storms, lost failure domains, and backend servers that are flapping, intermittently failing
// or cold. Each pattern is a test named after it. It compares arbutusfront with a baseline,
// plain hashing, which takes the first agent in the ranking by the flow's hash and buffers no
// packets.
//
// # Usage
//
//	go test ./arbutus-lab/patterns -run Burst -v
package patterns
