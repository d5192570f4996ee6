package state

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

const (
	fleetDomains              = 5
	serversPerHundredServices = 178
)

// fleet returns a configuration with the given number of services, and members with 1.78
// agents for each service and one balancer for each 6.25 agents.
func fleet(services int) (config.Config, []member.Member) {
	cfg := config.Config{Deployment: config.Deployment{Name: "fleet"}}
	for i := range fleetDomains {
		cfg.Domains = append(cfg.Domains, config.Domain{Name: fmt.Sprintf("domain-%d", i), State: config.DomainIn})
	}
	for i := range services {
		cfg.Services = append(cfg.Services, config.Service{
			Name: fmt.Sprintf("service-%d", i), Port: 80,
			Address:      netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}),
			BackendClass: config.BackendClass{Slots: 4, Connections: 2000},
			ColdStart:    config.ColdStart{Connections: 50, NewPerSecond: 50, WarmAfterConnections: 200},
		})
	}
	agents := services * serversPerHundredServices / 100
	members := make([]member.Member, 0, agents+agents/6)
	for i := range agents {
		members = append(members, fleetMember("agent", member.Agent, cfg.Services[i%services].Name, i))
	}
	for i := range agents * 4 / 25 {
		members = append(members, fleetMember("balancer", member.Balancer, "", i))
	}
	return cfg, members
}

func fleetMember(prefix string, role member.Role, service string, i int) member.Member {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(100 + i>>16), byte(i >> 8), byte(i)}), 7002)
	return member.Member{
		Name: fmt.Sprintf("%s-%d", prefix, i), Role: role, Service: service,
		Domain: fmt.Sprintf("domain-%d", i%fleetDomains), Packet: address, Control: address, Backend: address,
		Instance: uint64(i + 1), Version: 1, Phase: member.Serving,
	}
}

func fleetRevision(b *testing.B, cfg config.Config) (*config.Revision, []config.Chunk) {
	b.Helper()
	chunks, err := config.Split(cfg)
	if err != nil {
		b.Fatal(err)
	}
	values := make([][]byte, 0, len(chunks))
	for _, c := range chunks {
		values = append(values, c.Value)
	}
	r, err := config.Assemble(config.NewHead(nil, chunks, &controlv1.Accepted{}), values)
	if err != nil {
		b.Fatal(err)
	}
	return r, chunks
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFleet measures the time and memory that a balancer's state takes, by the size
// of the fleet.
func BenchmarkFleet(b *testing.B) {
	for _, services := range []int{84, 840, 2800, 8400} {
		cfg, members := fleet(services)
		b.Run(fmt.Sprintf("assemble/%d", services), func(b *testing.B) {
			_, chunks := fleetRevision(b, cfg)
			largest := 0
			for _, c := range chunks {
				largest = max(largest, len(c.Value))
			}
			for b.Loop() {
				fleetRevision(b, cfg)
			}
			b.ReportMetric(float64(len(chunks)), "chunks")
			b.ReportMetric(float64(largest), "largest_chunk_B")
		})
		b.Run(fmt.Sprintf("routes/%d", services), func(b *testing.B) {
			r, _ := fleetRevision(b, cfg)
			for b.Loop() {
				BuildRoutes(r, members, nil)
			}
		})
		b.Run(fmt.Sprintf("monitors/%d", services), func(b *testing.B) {
			table := member.NewTable()
			for _, m := range members {
				table.Merge(m)
			}
			s := table.Snapshot()
			for b.Loop() {
				s.Monitors(members[0])
			}
		})
		b.Run(fmt.Sprintf("memory/%d", services), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				r, _ := fleetRevision(b, cfg)
				table := member.NewTable()
				for _, m := range members {
					table.Merge(m)
				}
				routes := BuildRoutes(r, table.Snapshot().Members, nil)
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				runtime.KeepAlive(routes)
				runtime.KeepAlive(table)
				runtime.KeepAlive(r)
			}
		})
	}
}
