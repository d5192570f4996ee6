package balancer

import (
	"math"
	"math/rand/v2"
	"slices"

	"arbutusfront.dev/common/coordination/member"
)

// others returns the other live balancers.
func (p *Peers) others() []member.Member {
	self := p.announcer.Self()
	return p.node.Table.Snapshot().Select(func(m member.Member) bool {
		return m.Role == member.Balancer && m.Phase.Alive() && m.Name != self.Name
	})
}

// near returns the other live balancers of this failure domain, far those of other ones.
func (p *Peers) near() []member.Member {
	return slices.DeleteFunc(p.others(), func(b member.Member) bool { return b.Domain != p.announcer.Self().Domain })
}

func (p *Peers) far() []member.Member {
	return slices.DeleteFunc(p.others(), func(b member.Member) bool { return b.Domain == p.announcer.Self().Domain })
}

// oneOfEachOtherDomain returns a random live balancer of each other failure domain.
func (p *Peers) oneOfEachOtherDomain() []member.Member {
	var picked []member.Member
	for _, b := range pickRandom(p.far(), math.MaxInt) {
		if !slices.ContainsFunc(picked, func(m member.Member) bool { return m.Domain == b.Domain }) {
			picked = append(picked, b)
		}
	}
	return picked
}

// pickRandom returns up to n random members. It shuffles the slice.
func pickRandom(members []member.Member, n int) []member.Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(n, len(members))]
}
