package sessions

import (
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// cutTime is how long a failure domain is cut off: long enough for both parts to declare all
	// members of the other dead.
	cutTime = 12 * time.Second
	// refutedBound is the time after the end of a cut in which no process may count a live member
	// as dead any more. Flows must then not be reset.
	refutedBound = 4 * time.Second
	// platformHeartbeatMillis is the heartbeat interval of the deployments with this bound.
	platformHeartbeatMillis = 250
)

// memberLine matches a balancer's log line on a member. With named logs, the line begins with the
// balancer's name and the time.
var memberLine = regexp.MustCompile(
	`(?m)^(balancer-\d+) time=(\S+) .*event=member name=(\S+) role=(\S+) phase=(\S+) domain=(\S+)`)

// memberChange is a change of a member in a balancer's table.
type memberChange struct {
	balancer, name, role, phase, domain string
	at                                  time.Time
}

// memberChanges returns the changes in the log, in their order.
func (w *deployment) memberChanges(log string) []memberChange {
	var changes []memberChange
	for _, m := range memberLine.FindAllStringSubmatch(log, -1) {
		at, err := time.Parse(time.RFC3339Nano, m[2])
		w.must(err)
		changes = append(changes, memberChange{
			balancer: m[1], name: m[3], role: m[4], phase: m[5], domain: strings.TrimSpace(m[6]), at: at,
		})
	}
	return changes
}

// TestDomainCutHealed guards against deaths that outlast the cut behind which they were declared: one
// failure domain is cut off from the others. Balancers that never lost contact with an agent must not
// believe its death, and all members must count as alive again everywhere within refutedBound. With
// two, two and one balancers, the part that is cut off declares deaths too: some of the monitors of
// the domain with one balancer are in it, and confirm each other.
func TestDomainCutHealed(t *testing.T) {
	for _, c := range []struct {
		name      string
		balancers int
		isCut     func(fromInside bool) bool
	}{
		{"five balancers", 5, func(bool) bool { return true }},
		{"five balancers, outwards", 5, func(fromInside bool) bool { return fromInside }},
		{"many balancers", 18, func(bool) bool { return true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			defer func(before int) { *heartbeatMillis = before }(*heartbeatMillis)
			*heartbeatMillis = platformHeartbeatMillis
			runSession(t, 51, func(w *deployment) {
				w.namedLogs = true
				w.startFleet(c.balancers)
				cut := fleetDomains[0]
				across := w.acrossDomain(cut)
				heal := w.cut(func(from, to netip.Addr) bool {
					return across(from, to) && c.isCut(w.domains[from] == cut)
				})
				time.Sleep(cutTime)
				heal()
				healedAt := time.Now()
				time.Sleep(3 * refutedBound)
				changes := w.memberChanges(w.log())
				for _, d := range changes {
					observer := w.domains[w.address(d.balancer, 0).Addr()]
					if d.phase == "dead" && d.role == "agent" && observer != cut {
						w.g.Expect(d.domain).To(Equal(cut), "%s believes that %s is dead", d.balancer, d.name)
					}
				}
				refutedAt := w.lastRefuted(changes)
				t.Logf("all deaths are refuted %v after the end of the cut", refutedAt.Sub(healedAt))
				w.g.Expect(refutedAt).To(BeTemporally(">", healedAt), "deaths had been declared")
				w.g.Expect(refutedAt.Sub(healedAt)).To(BeNumerically("<=", refutedBound))
			})
		})
	}
}

// lastRefuted returns when a balancer last counted a member as alive again, and expects that none
// counts as dead after all changes.
func (w *deployment) lastRefuted(changes []memberChange) time.Time {
	last := make(map[[2]string]memberChange)
	var refutedAt time.Time
	for _, c := range changes {
		key := [2]string{c.balancer, c.name}
		if last[key].phase == "dead" && c.phase != "dead" && c.at.After(refutedAt) {
			refutedAt = c.at
		}
		last[key] = c
	}
	for _, c := range last {
		w.g.Expect(c.phase).NotTo(Equal("dead"), "%s believes that %s is dead", c.balancer, c.name)
	}
	return refutedAt
}
