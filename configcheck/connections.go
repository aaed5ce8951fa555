package configcheck

// checkConnections finds services whose backend servers can never fill their slots, because
// each request in progress needs a connection.
func checkConnections(in *Input, r *report) {
	for i, s := range in.Services {
		slots := 0
		if s.Engine != nil {
			slots = s.Engine.Slots
		}
		for _, server := range in.Servers[s.Name] {
			slots = max(slots, server.Slots)
		}
		if s.MaxConnections > 0 && s.MaxConnections < slots {
			r.warn(field(Services, i, FieldMaxConnections), "requests wait although a backend server has free slots",
				"%d connections for %d slots of a backend server", s.MaxConnections, slots)
		}
	}
}
