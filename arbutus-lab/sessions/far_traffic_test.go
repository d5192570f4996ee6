package sessions

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// farBalancers and their agents are a fleet of 126 members in three failure domains.
	farBalancers = 18
	// farWindow is how long traffic is measured, first while nothing changes and then while
	// farRestarts agents are killed and started again.
	farWindow   = 30 * time.Second
	farRestarts = 10
	// maxIdleFarBytes is the most that a member may send to other failure domains in a second
	// while nothing changes, and maxRestartFarBytes the most that all members together may
	// send there for the restart of one of them. Both are a quarter of what was sent when
	// members were monitored in all failure domains and changes spread at random: 725 bytes
	// a second, and 115,660 bytes for a restart (b459e54).
	maxIdleFarBytes    = 725 / 4
	maxRestartFarBytes = 115_660 / 4
)

// TestControlTrafficBetweenDomains guards against control traffic between failure domains that
// grows with each member and change of a fleet. Traffic there is slow and expensive.
func TestControlTrafficBetweenDomains(t *testing.T) {
	runSession(t, 51, func(w *deployment) {
		w.startFleet(farBalancers)
		members := farBalancers * (1 + agentsPerBalancer)
		before := w.farBytes()
		time.Sleep(farWindow)
		idle := w.farBytes() - before
		agents := w.namesInDomains(func(string) bool { return true })[:farRestarts]
		before = w.farBytes()
		for _, name := range agents {
			w.kill(name)
			time.Sleep(farWindow / farRestarts / 2)
			w.restart(name)
			time.Sleep(farWindow / farRestarts / 2)
		}
		restart := (w.farBytes() - before - idle) / farRestarts
		perMember := idle / members / int(farWindow.Seconds())
		t.Logf("%d members: %d bytes a second for each while idle, %d for a restart", members, perMember, restart)
		w.g.Expect(perMember).To(BeNumerically("<=", maxIdleFarBytes))
		w.g.Expect(restart).To(BeNumerically("<=", maxRestartFarBytes))
	})
}

// farBytes returns the bytes that members have sent to members of other failure domains,
// without headers of datagrams.
func (w *deployment) farBytes() int {
	w.mu.Lock()
	domains := make(map[netip.Addr]string, len(w.domains))
	for a, d := range w.domains {
		domains[a] = d
	}
	w.mu.Unlock()
	return w.network.SentBytes(func(from, to netip.Addr) bool {
		a, b := domains[from], domains[to]
		return a != "" && b != "" && a != b
	})
}
