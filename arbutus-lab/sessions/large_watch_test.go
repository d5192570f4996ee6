package sessions

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	// strayWindow and maxStray bound the packets of an open flow at other backend servers while none
	// reaches its own.
	strayWindow = 2 * time.Second
	maxStray    = 2
	// copyTime is the time by which a packet may overtake an earlier one on its way to a balancer.
	copyTime = 20 * time.Millisecond
)

type (
	// disturbance is a time for which a process is affected by an event.
	disturbance struct {
		from, until time.Time
		isPlanned   bool
	}

	// disturbances are those of each process, by its name. It is safe for concurrent use.
	disturbances struct {
		mu    sync.Mutex
		spans map[string][]disturbance
	}

	// sighting is a packet of a flow at a host.
	sighting struct {
		host netip.Addr
		at   time.Time
		// sequence and acknowledgment tell packets of the flow apart.
		sequence, acknowledgment uint32
	}

	// flowWatch has what the fabric and the backend servers receive. It is safe for concurrent use.
	flowWatch struct {
		mu sync.Mutex
		// resets are the resets on their way to the caller, by sender.
		resets map[ipv4.FlowKey][]sighting
		// delivered are the callers' packets at backend servers, without SYNs.
		delivered map[ipv4.FlowKey][]sighting
	}
)

// begin records the begin of a disturbance of the process. The returned function records its end.
func (d *disturbances) begin(name string, isPlanned bool) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := len(d.spans[name])
	now := time.Now()
	d.spans[name] = append(d.spans[name], disturbance{from: now, until: now.Add(time.Hour), isPlanned: isPlanned})
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.spans[name][i].until = time.Now()
	}
}

// within reports whether the process was disturbed at some time from the first to the last one. Planned
// disturbances count only if withPlanned is set.
func (d *disturbances) within(name string, first, last time.Time, withPlanned bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.spans[name], func(s disturbance) bool {
		return (withPlanned || !s.isPlanned) && s.from.Before(last) && s.until.After(first)
	})
}

// watchFlows records packets from now on.
func watchFlows(w *deployment) *flowWatch {
	fw := &flowWatch{resets: make(map[ipv4.FlowKey][]sighting), delivered: make(map[ipv4.FlowKey][]sighting)}
	w.network.Observe(func(from, to netip.AddrPort, b []byte) {
		w.recordArrival(from, to, b)
		fw.observe(from, to, b)
	})
	return fw
}

func (fw *flowWatch) observe(from, to netip.AddrPort, b []byte) {
	toCaller := to == netip.AddrPortFrom(fabricHost, portReturn)
	if !toCaller && to.Port() != portBackend {
		return
	}
	p, err := ipv4.Parse(b)
	if err != nil {
		return
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	switch key := p.Key(); {
	case toCaller && p.Flags().Has(ipv4.FlagRST):
		key = ipv4.FlowKey{Caller: key.Service, Service: key.Caller}
		fw.resets[key] = append(fw.resets[key], sighting{host: from.Addr(), at: time.Now()})
	case !toCaller && !p.IsSYN():
		fw.delivered[key] = append(fw.delivered[key], sighting{to.Addr(), time.Now(), p.Sequence(), p.Acknowledgment()})
	}
}

// strayed returns more than maxStray packets of the flow that reached other hosts within strayWindow, while
// none reached its own host for that time; none if there are not as many. Copies that a search sends to
// several hosts are one packet, and packets at hosts that are excused don't count.
func (fw *flowWatch) strayed(
	key ipv4.FlowKey, own netip.Addr, from, until time.Time, isExcused func(s sighting) bool,
) []sighting {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	var others []sighting
	begun := from
	for _, s := range append(slices.Clone(fw.delivered[key]), sighting{host: own, at: until}) {
		switch {
		case s.at.Before(from) || s.at.After(until):
		case s.host != own:
			if !isExcused(s) && !slices.ContainsFunc(others, s.isCopyOf) {
				others = append(others, s)
			}
		default:
			for i := maxStray; i < len(others) && s.at.Sub(begun) >= strayWindow; i++ {
				if others[i].at.Sub(others[i-maxStray].at) <= strayWindow {
					return others[i-maxStray : i+1]
				}
			}
			begun, others = s.at, nil
		}
	}
	return nil
}

// isCopyOf reports whether both are the same packet, and not one that the caller has retransmitted.
func (s sighting) isCopyOf(other sighting) bool {
	return s.sequence == other.sequence && s.acknowledgment == other.acknowledgment &&
		s.at.Sub(other.at) < retransmitInterval-copyTime
}

// senderOfReset returns the host that sent the last reset of the flow before the time.
func (fw *flowWatch) senderOfReset(key ipv4.FlowKey, before time.Time) netip.Addr {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	var sender netip.Addr
	for _, s := range fw.resets[key] {
		if !s.at.After(before) {
			sender = s.host
		}
	}
	return sender
}

// nameOf returns the name of the process at the address.
func (w *deployment) nameOf(a netip.Addr) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, host := range w.addresses {
		if host == a {
			return name
		}
	}
	return "nobody"
}
