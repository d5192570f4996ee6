package load

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestLoadExceeds guards against new flows that are forwarded because of a small difference
// in load, and against flow counts that outweigh a queue of requests.
func TestLoadExceeds(t *testing.T) {
	const slots = 4
	for _, test := range []struct {
		name   string
		l      Load
		other  Load
		expect bool
	}{
		{"equal", Load{Flows: 10}, Load{Flows: 10}, false},
		{"few more flows", Load{Flows: 12}, Load{Flows: 10}, false},
		{"clearly more flows", Load{Flows: 13}, Load{Flows: 10}, true},
		{"few of many flows", Load{Flows: 1020}, Load{Flows: 1000}, false},
		{"more flows within the slots", Load{Flows: 13, Requests: 0}, Load{Flows: 10, Requests: 4}, true},
		{"more flows than one with a queue", Load{Flows: 50, Requests: 3}, Load{Flows: 10, Requests: 5}, false},
		{"fewer flows and a queue", Load{Flows: 10, Requests: 6}, Load{Flows: 50, Requests: 4}, true},
		{"more flows and queues of one length", Load{Flows: 50, Requests: 7}, Load{Flows: 10, Requests: 6}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(test.l.Exceeds(test.other, slots)).To(Equal(test.expect))
		})
	}
}
