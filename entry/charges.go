package entry

import (
	"context"
	"sync"
	"time"

	"hyssoploom/ledger"
)

// maxDurableWait limits how long the end of an answer is delayed until its charge
// is durable.
const maxDurableWait = 300 * time.Millisecond

// outageThreshold is the age of the oldest unwritten row above which the store is
// considered down; the end of an answer then does not wait for its charge.
const outageThreshold = time.Second

// pendingCharges tracks the charge rows of requests in progress. Each channel is
// closed when its row is durable.
type pendingCharges struct {
	mu   sync.Mutex
	rows map[string][]<-chan struct{}
}

func (p *pendingCharges) add(requestID string, durable <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rows == nil {
		p.rows = make(map[string][]<-chan struct{})
	}
	p.rows[requestID] = append(p.rows[requestID], durable)
}

// take removes and returns the rows of a request.
func (p *pendingCharges) take(requestID string) []<-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := p.rows[requestID]
	delete(p.rows, requestID)
	return rows
}

// charge adds the row of an attempt to the ledger. The agent also holds the row
// until this entry reports it as durable.
func (e *Entry) charge(p *peer, encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	row, err := ledger.DecodeRow(encoded)
	if err != nil {
		e.log.Error("Charge row cannot be decoded; the agent writes it.", "backend_server", p.name, "error", err.Error())
		return
	}
	e.addRow(p, row)
}

func (e *Entry) addRow(p *peer, row ledger.Row) {
	// The row is added to the ledger before it is registered as held, so that the
	// report for an earlier row of the same charge cannot cover it.
	durable := e.ledger.Add(row)
	e.links.addHeldRow(p, row)
	select {
	case <-durable: // the row may have become durable before it was registered
		e.links.reportDurable([]ledger.RowKey{row.Key()})
	default:
	}
	e.pending.add(row.RequestID, durable)
}

// interruptedAttempt describes an attempt whose end the entry does not see.
type interruptedAttempt struct {
	apiRequest *apiRequest
	bodyHash   string
	stage      int
	model      string
	version    string
	service    string
	tokensOut  int64
}

// chargeInterrupted writes a row with what is known of an interrupted attempt.
func (e *Entry) chargeInterrupted(c interruptedAttempt) {
	row := ledger.Row{
		Workspace: c.apiRequest.workspace.Name, RequestID: c.apiRequest.requestID, BodyHash: c.bodyHash,
		Stage: c.stage, Attempt: e.bootID + "/cut", Model: c.model, Version: c.version, Service: c.service,
		TokensOut: c.tokensOut, Outcome: "cut", At: time.Now().UTC(),
	}
	view := c.apiRequest.view // prices as of the start of the request
	if model, ok := view.Models[c.model]; ok {
		if version, ok := model.Version(c.version); ok {
			row.Amount = c.tokensOut * version.PriceOut
		}
	}
	if service, ok := view.Services[c.service]; ok {
		row.Amount = service.Price
	}
	// The row is not registered as held, so it does not release the agent's own
	// row for this attempt; the agent writes that one itself.
	e.pending.add(row.RequestID, e.ledger.Add(row))
}

// waitDurable waits until the request's rows are in the store, for at most
// maxDurableWait. During a store outage it does not wait; this entry and the agent
// keep the rows.
func (e *Entry) waitDurable(ctx context.Context, requestID string) {
	rows := e.pending.take(requestID)
	if len(rows) == 0 || e.ledger.Stats().OldestAge > outageThreshold {
		return
	}
	_, span := e.deps.Tracing.Tracer.Start(ctx, "store")
	defer span.End()
	timer := time.NewTimer(maxDurableWait)
	defer timer.Stop()
	for _, durable := range rows {
		select {
		case <-durable:
		case <-timer.C:
			e.metrics.Add("charges_late", 1)
			return
		case <-ctx.Done():
			return
		}
	}
}
