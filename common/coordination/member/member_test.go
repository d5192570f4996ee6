package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

func drawMember(t *rapid.T) Member {
	return Member{
		Name:     fmt.Sprintf("m%d", rapid.IntRange(0, 3).Draw(t, "name")),
		Role:     Agent,
		Instance: rapid.Uint64Range(1, 3).Draw(t, "instance"),
		Version:  rapid.Uint64Range(1, 3).Draw(t, "version"),
		Phase:    Phase(rapid.IntRange(int(Joining), int(Left)).Draw(t, "phase")),
	}
}

// TestMergeIsOrderIndependent guards against tables that diverge for good: two processes
// receive the same records in different orders, one of them each record twice.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawMember), 1, 20).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		a, b := NewTable(), NewTable()
		for i := range records {
			a.Merge(records[i])
			b.Merge(shuffled[i])
			b.Merge(shuffled[i])
		}
		if a.Snapshot().Digest != b.Snapshot().Digest {
			t.Fatal("the tables differ")
		}
		if n := len(a.Snapshot().Differing(b.Snapshot().BucketDigests())); n != 0 {
			t.Fatalf("%d members in buckets that differ", n)
		}
	})
}

// TestLateGossipDoesNotReviveDeadMember guards against a dead member that appears alive
// again because an old record of it arrives late. Its record must remain for the retention
// time, and be removed after it.
func TestLateGossipDoesNotReviveDeadMember(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	table := NewTable()
	table.now = func() time.Time { return now }
	m := Member{Name: "a", Role: Agent, Instance: 1, Version: 1, Phase: Serving}
	table.Merge(m)
	table.Merge(m.WithDeath())
	now = now.Add(retention - time.Second)
	table.Expire()
	g.Expect(table.Merge(m)).To(BeFalse())
	now = now.Add(2 * time.Second)
	table.Expire()
	g.Expect(table.Snapshot().Members).To(BeEmpty())
}

// TestRefused guards against two members that use the same name or backend address, and
// against a member that is refused after a restart because of its own earlier incarnation.
func TestRefused(t *testing.T) {
	at := netip.MustParseAddrPort
	first := Member{
		Name: "desk-1", Role: Agent, Instance: 5, Version: 1, Phase: Serving,
		Packet: at("10.0.0.1:1"), Backend: at("10.0.0.1:80"),
	}
	for _, c := range []struct {
		name   string
		change func(*Member)
		want   string
	}{
		{"itself", func(*Member) {}, ""},
		{"restart in place", func(m *Member) { m.Instance = 9 }, ""},
		{"same name elsewhere", func(m *Member) {
			m.Instance, m.Packet, m.Backend = 9, at("10.0.0.2:1"), at("10.0.0.2:80")
		}, "name desk-1 is held"},
		{"same backend address", func(m *Member) {
			m.Instance, m.Name, m.Packet = 9, "desk-2", at("10.0.0.2:1")
		}, "backend address 10.0.0.1:80 is held"},
		{"earlier claim", func(m *Member) { m.Instance, m.Packet = 2, at("10.0.0.2:1") }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			table.Merge(first)
			checked := first
			c.change(&checked)
			table.Merge(checked)
			refusal, _ := table.Snapshot().Refused(checked)
			NewWithT(t).Expect(refusal.Reason).To(Equal(c.want))
		})
	}
}

// TestMonitorsSpreadOverDomains guards against members whose monitors share a failure
// domain, and against balancers that monitor many more members than others.
func TestMonitorsSpreadOverDomains(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	for i := range 9 {
		table.Merge(Member{
			Name: fmt.Sprintf("b%d", i), Role: Balancer, Domain: fmt.Sprintf("d%d", i%3),
			Instance: 1, Version: 1, Phase: Serving,
		})
	}
	counts := make(map[string]int)
	for i := range 300 {
		monitors := table.Snapshot().Monitors(Member{Name: fmt.Sprintf("a%d", i)})
		g.Expect(monitors).To(HaveLen(MonitorCount))
		domains := make(map[string]bool)
		for _, m := range monitors {
			domains[m.Domain] = true
			counts[m.Name]++
		}
		g.Expect(domains).To(HaveLen(MonitorCount))
	}
	for name, n := range counts {
		g.Expect(n).To(BeNumerically("~", 100, 50), name)
	}
}

// TestDecodeRejectsInvalidRecords guards the table against malformed records.
func TestDecodeRejectsInvalidRecords(t *testing.T) {
	valid := Member{
		Name: "a", Role: Agent, Instance: 1, Version: 1, Phase: Serving, Packet: netip.MustParseAddrPort("10.0.0.1:1"),
	}
	m, err := Decode(valid.Encode())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(m).To(Equal(valid))
	for _, c := range []struct {
		name, want string
		change     func(*controlv1.Member)
	}{
		{"name", "member: member without name or instance", func(m *controlv1.Member) { m.Name = "" }},
		{"role", `member: member "a" has unknown role 9`, func(m *controlv1.Member) { m.Role = 9 }},
		{"phase", `member: member "a" has unknown phase 0`, func(m *controlv1.Member) { m.Phase = 0 }},
		{"address", `member: member "a" has address "x": not an ip:port`, func(m *controlv1.Member) {
			m.PacketAddress = "x"
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := valid.Encode()
			c.change(m)
			_, err := Decode(m)
			NewWithT(t).Expect(err).To(MatchError(c.want))
		})
	}
}
