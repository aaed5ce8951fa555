package fleet

// Rollout is an order with its outcome.
type Rollout struct {
	Order
	// Outcome is InProgress until another outcome is published for this order.
	Outcome Outcome
}

// Rollout returns the rollout of a service. ok is false when there is no order.
func (v *View) Rollout(service string) (Rollout, bool) {
	order, ok := v.Orders[service]
	if !ok {
		return Rollout{}, false
	}
	r := Rollout{Order: order, Outcome: InProgress}
	// A status with a lower revision belongs to an earlier order.
	if s := v.Statuses[service]; s.Target == order.Target && s.Revision > order.Revision && s.Outcome != "" {
		r.Outcome = s.Outcome
	}
	return r, true
}
