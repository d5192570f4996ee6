package state

import (
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/common/coordination/config"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/state/demand"
)

// Demands adds what operators need to the figures on requests of agents and of this balancer: the
// request classes, and the routes that have them. It reads the configuration when it first needs
// it, as most processes have no figures.
type Demands struct {
	config  func() *config.Revision
	now     time.Time
	classes map[string]map[uint8]config.RequestClass
	routes  map[string]map[config.RequestClass][]string
}

// NewDemands returns Demands for the configuration in force and the current time.
func (n *Node) NewDemands(now time.Time) *Demands {
	return &Demands{config: n.Config.Current, now: now}
}

// read reads the classes and routes of the configuration in force, once.
func (d *Demands) read() {
	if d.classes != nil {
		return
	}
	d.classes = make(map[string]map[uint8]config.RequestClass)
	r := d.config()
	if r == nil {
		return
	}
	for service, classes := range r.Config.Classes() {
		d.classes[service] = config.NewClassCodes(classes).ByCode()
	}
	d.routes = r.Config.RoutesByClass()
}

// ClassOf returns the request class that the code stands for at the service; zero if there is none.
func (d *Demands) ClassOf(service string, code uint8) config.RequestClass {
	d.read()
	return d.classes[service][code]
}

// OfAgent returns the figures in the last heartbeat of an agent of the service; none if they are
// too old.
func (d *Demands) OfAgent(service string, h Heartbeat) []*controlv1.RequestDemand {
	if d.now.Sub(h.At) >= demand.Window {
		return nil
	}
	all := make([]*controlv1.RequestDemand, 0, len(h.Demand))
	for _, received := range h.Demand {
		d.read()
		m := proto.CloneOf(received)
		m.Service, m.RequestClass, m.Routes = "", nil, nil
		class, known := d.classes[service][uint8(m.GetClass())]
		if known || m.GetClass() == 0 {
			m.RequestClass, m.Routes = demand.EncodeClass(class), d.routes[service][class]
		}
		all = append(all, m)
	}
	return all
}

// Encode returns the figures of this balancer for its status.
func (d *Demands) Encode(figures []demand.Figures) []*controlv1.RequestDemand {
	all := make([]*controlv1.RequestDemand, 0, len(figures))
	for _, f := range figures {
		d.read()
		all = append(all, f.EncodeWith(d.routes[f.Service][f.Class]))
	}
	return all
}
