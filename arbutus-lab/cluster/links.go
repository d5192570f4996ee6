package cluster

import "net/netip"

// Links replaces addresses of links between processes, for instance by those of
// proxies that inject faults. A nil function leaves the destination's own address.
type Links struct {
	// Store returns the address at which the balancer reaches the store.
	Store func(balancer string) netip.AddrPort
	// Packets returns the address at which the fabric reaches the balancer.
	Packets func(balancer string) netip.AddrPort
}

// SetLinks sets the links. Links.Store applies to balancers that are started
// afterwards, Links.Packets to later calls of SetBalancers.
func (c *Cluster) SetLinks(l Links) { c.links = l }

// KeepFiles has Close retain the processes' logs and settings, and returns their directory.
func (c *Cluster) KeepFiles() string {
	c.keepFiles = true
	return c.dir
}

// StoreAddress returns the store's HTTP address.
func (c *Cluster) StoreAddress() netip.AddrPort { return c.Address(nameStore, portControl) }

// PacketAddress returns the UDP address at which the balancer receives callers' packets from
// the fabric. It is the balancer's own address even if Links replaces it.
func (c *Cluster) PacketAddress(balancer string) netip.AddrPort {
	return c.Address(balancer, portFabric)
}
