package once

import "context"

// Abandon cancels a started call that the agent has certainly not made: its
// deadline had passed when Start returned, or the service refused the
// connection. The caller must be the only one in its process that called Start
// with this nonce. A reservation that is not started by the agent stays as it
// is, so that another agent can still run it.
func (l *Log) Abandon(ctx context.Context, workspace, key, nonce, agentBootID string) error {
	_, err := run(ctx, l, "abandon", StoreKey(workspace, key), nil, func(cur *Record) (bool, *Record) {
		return abandon(cur, nonce, agentBootID)
	})
	return err
}

func abandon(cur *Record, nonce, agent string) (abandoned bool, next *Record) {
	if cur == nil || cur.Nonce != nonce || cur.State != StateStarted || cur.Agent != agent {
		return false, nil
	}
	n := *cur
	n.State = StateCancelled
	return true, &n
}
