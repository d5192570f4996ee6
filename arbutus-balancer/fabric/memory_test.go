package fabric

import (
	"runtime"
	"testing"

	"arbutusfront.dev/common/protocol/ipv4"
)

// BenchmarkPlacementMemory measures the memory that a remembered flow takes.
func BenchmarkPlacementMemory(b *testing.B) {
	const flows = 20_000
	for b.Loop() {
		d := newTestBalancer(new(testing.T))
		instance := agentOf("desk", "north", 1).Instance
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range flows {
			d.reportHeld(deskPacket(uint16(1024+i), ipv4.FlagSYN), instance, 0)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(d.forwarder.placement.flows)), "B/flow")
	}
}
