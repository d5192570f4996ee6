package balancer

import (
	"slices"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/protocol/capsule"
)

// ServiceView returns the part of the configuration and the members that an agent of the
// service needs, and whether the configuration in force has the service. If it has not,
// the view contains at most the revision.
func (p *Peers) ServiceView(service string) (peer.View, bool) {
	r := p.node.Config.Current()
	if r == nil {
		return peer.View{}, false
	}
	v, ok := r.Config.View(service)
	if !ok {
		return peer.View{Revision: r.Order()}, false
	}
	snapshot := p.node.Table.Snapshot()
	members := snapshot.Select(func(m member.Member) bool { return m.Service == service })
	// Only agents of the same service need to know a drained backend server.
	v.Drained = slices.DeleteFunc(slices.Clone(v.Drained), func(name string) bool { return !containsName(members, name) })
	return peer.View{
		Revision:           r.Order(),
		Config:             v,
		Members:            members,
		PartitionedRegions: p.partitionedRegions(r, snapshot),
		Costs:              p.node.Costs.Of(capsule.KeyOf(service), v.Classes, p.now()),
	}, true
}

// viewDigest returns the digest of the service's view; 0 if there is none. It is
// cached, because the acknowledgment of each heartbeat contains it.
func (p *Peers) viewDigest(service string) uint64 {
	revision := p.node.Config.Current().Order()
	generation := p.node.Table.Snapshot().Generation
	p.mu.Lock()
	cached, ok := p.viewDigests[service]
	p.mu.Unlock()
	if ok && cached.revision == revision && cached.generation == generation {
		return cached.digest
	}
	var digest uint64
	if v, ok := p.ServiceView(service); ok {
		digest, _ = v.Digest()
	}
	p.mu.Lock()
	p.viewDigests[service] = cachedDigest{revision: revision, generation: generation, digest: digest}
	p.mu.Unlock()
	return digest
}

// partitionedRegions returns the other regions whose members have all been declared
// dead. The result is cached for each state of the table and the configuration.
func (p *Peers) partitionedRegions(r *config.Revision, s *member.Snapshot) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.partitionedCache.generation == s.Generation && p.partitionedCache.revision == r.Order() {
		return p.partitionedCache.regions
	}
	p.partitionedCache = regionCache{
		revision:   r.Order(),
		generation: s.Generation,
		regions:    findPartitionedRegions(r.Config, s, p.announcer.Self().Domain),
	}
	return p.partitionedCache.regions
}

// findPartitionedRegions returns the regions, in order, that have dead members but no
// live ones, except the region of ownDomain.
func findPartitionedRegions(cfg config.Config, s *member.Snapshot, ownDomain string) []string {
	alive, dead := make(map[string]bool), make(map[string]bool)
	for _, m := range s.Members {
		d, ok := cfg.Domain(m.Domain)
		if !ok {
			continue
		}
		alive[d.Region] = alive[d.Region] || m.Phase.Alive()
		dead[d.Region] = dead[d.Region] || m.Phase == member.Dead
	}
	home := cfg.RegionOf(ownDomain)
	var partitioned []string
	for region := range dead {
		if dead[region] && !alive[region] && region != home {
			partitioned = append(partitioned, region)
		}
	}
	slices.Sort(partitioned)
	return partitioned
}
