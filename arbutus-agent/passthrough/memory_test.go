package passthrough

import (
	"net/netip"
	"runtime"
	"testing"

	"arbutusfront.dev/common/protocol/ipv4"
)

// BenchmarkFlowMemory measures the memory that an agent uses per flow.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 20_000
	for b.Loop() {
		r := newHarness(new(testing.T))
		r.engine.deliver = func([]byte) error { return nil }
		r.engine.reply = func(netip.AddrPort, []byte) error { return nil }
		r.engine.forward = func([]byte, netip.AddrPort) error { return nil }
		r.engine.opened = func(ipv4.FlowKey) {}
		r.announce(func(a *Announcement) { a.StartedUnixMillis = 0; a.Sequence = 900 })
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range flows {
			s := segment(uint16(i), ipv4.FlagACK, serverISN, callerISN, 0)
			s.Key.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i >> 14)}), uint16(i))
			r.fromServer(s)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(r.engine.flows)), "B/flow")
	}
}
