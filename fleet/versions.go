package fleet

// VersionInUse tells whether requests without a session may go to a server's
// version: the old one while a roll-out is under way or after it was rolled back,
// the new one when it is completed.
func (v *View) VersionInUse(s *BackendServer) bool {
	order, ok := v.Orders[s.Service]
	if !ok {
		return true
	}
	status := v.Statuses[s.Service]
	done := status.Target == order.Target && status.Outcome == Completed
	return done == (s.Version == order.Target)
}
