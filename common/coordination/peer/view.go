package peer

import (
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// regionSeparator separates region names in a digest. Region names are not checked for it:
// a name that contains it can give two lists of regions the same digest.
const regionSeparator = ","

// View is the state that a balancer sends to the agents of one service: the service's part
// of the configuration and the members of the service.
type View struct {
	Revision config.Order
	Config   config.View
	Members  []member.Member
	// PartitionedRegions are the regions other than the balancer's own in which some members
	// are dead and none is alive, ordered by name.
	PartitionedRegions []string
	// Costs are the learned costs of the request classes in Config. The digest does not depend on
	// them: an agent learns from its own requests afterwards, so their changes are no reason to
	// fetch the view again.
	Costs []learned.Cost
}

// Digest returns a hash of the view. It doesn't depend on the revision, nor on
// members that are dead or have left, so that their changes alone don't make agents fetch
// the view again.
func (v View) Digest() (uint64, error) {
	digest, err := v.Config.Digest()
	if err != nil {
		return 0, err
	}
	digest ^= member.LiveDigest(v.Members)
	if len(v.PartitionedRegions) > 0 {
		digest ^= xxh3.HashString(strings.Join(v.PartitionedRegions, regionSeparator))
	}
	return digest, nil
}

// Encode returns the view as a protobuf message.
func (v View) Encode() (*controlv1.GetViewResponse, error) {
	b, err := v.Config.Encode()
	if err != nil {
		return nil, err
	}
	digest, err := v.Digest()
	if err != nil {
		return nil, err
	}
	return &controlv1.GetViewResponse{
		Revision:      v.Revision.Number,
		ConfigVersion: v.Revision.Version,
		View:          b,
		Members:       member.EncodeAll(v.Members),
		ViewDigest:    digest,
		SilentRegions: v.PartitionedRegions,
		LearnedCosts:  learned.Encode(v.Costs, time.Now()),
	}, nil
}

// decodeView returns the view in a protobuf message. Malformed members are dropped.
func decodeView(m *controlv1.GetViewResponse) (View, error) {
	v, err := config.DecodeView(m.GetView())
	if err != nil {
		return View{}, err
	}
	return View{
		Revision:           config.OrderOf(m),
		Config:             v,
		Members:            decodeAll(m.GetMembers()),
		PartitionedRegions: m.GetSilentRegions(),
		Costs:              learned.Decode(m.GetLearnedCosts(), time.Now()),
	}, nil
}
