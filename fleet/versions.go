package fleet

// RollOut is the state of an order.
type RollOut struct {
	Order
	// Outcome is InProgress until the fleet has published another for this order.
	Outcome Outcome
}

// RollOut returns the order for a service, if there is one.
func (v *View) RollOut(service string) (RollOut, bool) {
	order, ok := v.Orders[service]
	if !ok {
		return RollOut{}, false
	}
	r := RollOut{Order: order, Outcome: InProgress}
	// A status from before the order belongs to an earlier one.
	if s := v.Statuses[service]; s.Target == order.Target && s.Revision > order.Revision && s.Outcome != "" {
		r.Outcome = s.Outcome
	}
	return r, true
}
