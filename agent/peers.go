package agent

import (
	"hyssoploom/control"
	"hyssoploom/link"
)

// onPeerConnected sends a newly connected entry the evidence and quarantines of this
// process.
func (a *Agent) onPeerConnected(peer link.Hello) {
	a.log.Info("Entry connected.", "entry", peer.Name)
	for _, c := range a.health.InitialMessages() {
		_ = a.server.SendTo(peer.BootID, c)
	}
}

// onPeerLost writes the charges that a lost entry has not reported durable.
func (a *Agent) onPeerLost(peer link.Hello) {
	if rows := a.held.HandOver(peer.BootID); rows > 0 {
		a.log.Warn("Writing charges of a lost entry.", "entry", peer.Name, "rows", rows)
	}
}

// onHeartbeat sends the entry the records that it lacks according to its heartbeat.
func (a *Agent) onHeartbeat(peer link.Hello, hb link.Heartbeat) {
	for _, m := range control.SplitRecords(control.MissingRecords(a.snapshot, hb.Revision, hb.Digest)) {
		_ = a.server.SendTo(peer.BootID, m)
	}
}

func (a *Agent) onControl(peer link.Hello, c link.Control) {
	if err := a.handleControl(peer, c); err != nil {
		a.log.Warn("Dropped a control message.", "peer", peer.Name, "error", err.Error())
	}
}

// handleControl processes a control message from an entry.
func (a *Agent) handleControl(peer link.Hello, c link.Control) error {
	handled, err := control.HandleRecords(a.snapshot, c, func(out link.Control) error {
		return a.server.SendTo(peer.BootID, out)
	})
	if handled || err != nil {
		return err
	}
	switch c.Kind {
	case control.KindDurableRows:
		var m control.DurableRows
		if err := control.Decode(c, &m); err != nil {
			return err
		}
		a.held.Release(peer.BootID, m.Rows)
	case control.KindAnswerRated:
		var m control.AnswerRated
		if err := control.Decode(c, &m); err != nil {
			return err
		}
		a.exposure.onRating(m)
	default:
		return a.health.HandleOrReject(c)
	}
	return nil
}
