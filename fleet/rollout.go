package fleet

// RollOut is an order with its outcome.
type RollOut struct {
	Order
	// Outcome is InProgress until another outcome is published for this order.
	Outcome Outcome
}

// RollOut returns the roll-out of a service. ok is false when there is no order.
func (v *View) RollOut(service string) (RollOut, bool) {
	order, ok := v.Orders[service]
	if !ok {
		return RollOut{}, false
	}
	r := RollOut{Order: order, Outcome: InProgress}
	// A status with a lower revision belongs to an earlier order.
	if s := v.Statuses[service]; s.Target == order.Target && s.Revision > order.Revision && s.Outcome != "" {
		r.Outcome = s.Outcome
	}
	return r, true
}
