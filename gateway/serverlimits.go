package gateway

// observeLimit logs when the limit that a server names in its responses changes.
func (g *Gateway) observeLimit(t *target, meta *ResponseMeta) {
	named := -1.0
	if meta.Limited && !meta.WrongServer {
		named = meta.RequestsPerSecond
	}
	g.mu.Lock()
	old := t.load.namedLimit
	t.load.namedLimit = named
	g.mu.Unlock()
	if named == old {
		return
	}
	g.Metrics.Add("server_limit_changes", 1)
	g.Log.Info("A backend server changed the limit that it names.", "server", t.server.ID, "per_second", named, "before", old,
		"running", t.running)
}
