// Package directory stores which agent holds a flow, for flows whose packets may reach
// this agent.
//
// # Usage
//
//	d := directory.New()
//	d.Put(key, directory.Holding{Instance: instance, At: now})
//	h, known := d.Get(key)
package directory

import (
	"sync"
	"time"

	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	// tentativeLifetime is how long the entry of a flow's tentative holder, to which this
	// agent forwarded the SYN, is retained.
	tentativeLifetime = 30 * time.Second
	// maxEntries bounds the directory's memory. Beyond it, new flows are not recorded.
	maxEntries = 1 << 20
)

type (
	// Directory has the holders of flows. It is safe for concurrent use.
	Directory struct {
		mu      sync.Mutex
		entries map[ipv4.FlowKey]Holding
	}

	// Holding names a flow's holder. It is tentative if this agent only forwarded the
	// flow's SYN there, and confirmed if the holder published the flow.
	Holding struct {
		Instance  uint64
		Tentative bool
		// At is when the entry was recorded.
		At time.Time
	}
)

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[ipv4.FlowKey]Holding)}
}

// Get returns the flow's holder, and whether there is an entry.
func (d *Directory) Get(key ipv4.FlowKey) (Holding, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.entries[key]
	return h, ok
}

// Put records the holder. A tentative entry does not replace a confirmed one, and a flow
// without an entry is not recorded if the directory has maxEntries.
func (d *Directory) Put(key ipv4.FlowKey, h Holding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.entries[key]
	if known && h.Tentative && !old.Tentative {
		return
	}
	if !known && len(d.entries) >= maxEntries {
		return
	}
	d.entries[key] = h
}

// Remove removes the flow's entry if it names the instance.
func (d *Directory) Remove(key ipv4.FlowKey, instance uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries[key].Instance == instance {
		delete(d.entries, key)
	}
}

// HeldBy returns the flows whose confirmed holder is the instance.
func (d *Directory) HeldBy(instance uint64) []ipv4.FlowKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	var keys []ipv4.FlowKey
	for key, h := range d.entries {
		if h.Instance == instance && !h.Tentative {
			keys = append(keys, key)
		}
	}
	return keys
}

// Expire removes tentative entries older than tentativeLifetime, and the entries of
// holders that are not among the members.
func (d *Directory) Expire(now time.Time, members []member.Member) {
	known := make(map[uint64]bool, len(members))
	for _, m := range members {
		known[m.Instance] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, h := range d.entries {
		if h.Tentative && now.Sub(h.At) > tentativeLifetime || !known[h.Instance] {
			delete(d.entries, key)
		}
	}
}

// Len returns the number of entries.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}
