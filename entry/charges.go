package entry

import (
	"context"
	"sync"
	"time"

	"hyssoploom/ledger"
)

// durableWait bounds how long the end of an answer waits for its charge.
const maxDurableWait = 300 * time.Millisecond

// outageAge is the age of the oldest unwritten row from which on the store
// counts as down and the end of an answer does not wait for its charge.
const outageThreshold = time.Second

// pendingCharges follows the rows of requests that have not ended.
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

func (p *pendingCharges) take(requestID string) []<-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := p.rows[requestID]
	delete(p.rows, requestID)
	return rows
}

// charge takes over the row of an attempt. The agent holds it too until this
// entry reports that it is durable.
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
	// The row is added before it is listed as held, so that the report of an
	// earlier row of the same charge cannot cover it.
	durable := e.ledger.Add(row)
	e.links.addHeldRow(p, row)
	select {
	case <-durable: // the report may have come before the row was listed
		e.links.reportDurable([]ledger.RowKey{row.Key()})
	default:
	}
	e.pending.add(row.RequestID, durable)
}

// cutCharge describes an attempt whose end the entry does not see.
type interruptedAttempt struct {
	apiRequest *apiRequest
	bodyHash   string
	stage      int
	model      string
	version    string
	service    string
	tokensOut  int64
}

// chargeCut writes a row for what is known of a lost attempt.
func (e *Entry) chargeInterrupted(c interruptedAttempt) {
	row := ledger.Row{
		Workspace: c.apiRequest.workspace.Name, RequestID: c.apiRequest.requestID, BodyHash: c.bodyHash,
		Stage: c.stage, Attempt: e.bootID + "/cut", Model: c.model, Version: c.version, Service: c.service,
		TokensOut: c.tokensOut, Outcome: "cut", At: time.Now().UTC(),
	}
	view := c.apiRequest.view // with the prices of the request's start
	if model, ok := view.Models[c.model]; ok {
		if version, ok := model.Version(c.version); ok {
			row.Amount = c.tokensOut * version.PriceOut
		}
	}
	if service, ok := view.Services[c.service]; ok {
		row.Amount = service.Price
	}
	// The agent's own row, if any, is not covered by this one: it stays with the
	// agent, which writes it.
	e.pending.add(row.RequestID, e.ledger.Add(row))
}

// waitDurable waits, for a bounded time, until the request's rows are in the
// store. In an outage the rows stay in this entry and the agent.
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
