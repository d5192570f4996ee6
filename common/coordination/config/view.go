package config

import (
	"github.com/go-json-experiment/json"
	"github.com/zeebo/xxh3"
)

// View is the part of a configuration that the agents of one service receive.
type View struct {
	Service Service  `json:"service"`
	Domains []Domain `json:"domains"`
	Drained []string `json:"drained"`
	Limits  Limits   `json:"limits"`
	// Classes are the request classes of the service's routes, in order.
	Classes []RequestClass `json:"classes,omitempty"`
	// DomainOut decides whether flows are reset when their failure domain is taken
	// out of service.
	DomainOut DomainOutPolicy `json:"domain_out,omitempty"`
}

// View returns the view of the named service, and whether that service exists.
func (c Config) View(service string) (View, bool) {
	s, ok := c.Service(service)
	return View{
		Service: s, Domains: c.Domains, Drained: c.Drained,
		Limits: c.Deployment.Limits, DomainOut: c.Deployment.DomainOut,
		Classes: c.Classes()[service],
	}, ok
}

// Encode returns the view as deterministic JSON.
func (v View) Encode() ([]byte, error) {
	b, err := json.Marshal(v, json.Deterministic(true))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return b, nil
}

// DecodeView parses a view from the JSON that Encode returns.
func DecodeView(b []byte) (View, error) {
	var v View
	if err := json.Unmarshal(b, &v); err != nil {
		return View{}, Error.Wrap(err)
	}
	return v, nil
}

// Digest returns a hash of the encoded view. Equal views have equal digests.
func (v View) Digest() (uint64, error) {
	b, err := v.Encode()
	if err != nil {
		return 0, err
	}
	return xxh3.Hash(b), nil
}

// RegionOf returns the region of the named failure domain, or an empty string if the
// view doesn't contain that domain.
func (v View) RegionOf(domain string) string {
	return Config{Domains: v.Domains}.RegionOf(domain)
}

// DomainIsOut reports whether the named failure domain is out of service. It is true
// for a domain that the view doesn't contain.
func (v View) DomainIsOut(name string) bool {
	return Config{Domains: v.Domains}.DomainIsOut(name)
}

// IsDrained reports whether the named backend server is drained.
func (v View) IsDrained(server string) bool {
	return Config{Drained: v.Drained}.IsDrained(server)
}

// KeepsFlows reports whether existing flows continue when their failure domain is
// taken out of service.
func (v View) KeepsFlows() bool { return v.DomainOut == KeepFlows }
