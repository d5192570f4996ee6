package config

// Compare orders classes by priority, target latency, timeout and repeatability.
func (c RequestClass) Compare(other RequestClass) int { return c.compare(other) }

// RoutesByClass returns the names of the routes of each service by their request class, in the
// order of AllRoutes. Routes without a class are listed under the zero class.
func (c Config) RoutesByClass() map[string]map[RequestClass][]string {
	routes := make(map[string]map[RequestClass][]string)
	for _, r := range c.AllRoutes() {
		for _, t := range r.Targets {
			if routes[t.Service] == nil {
				routes[t.Service] = make(map[RequestClass][]string)
			}
			routes[t.Service][r.Requests] = append(routes[t.Service][r.Requests], r.Name)
		}
	}
	return routes
}
