package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hyssoploom/backend"
	"hyssoploom/fleet"
	"hyssoploom/internal/liveness"
)

const (
	// reportTimeout limits one request for the report of an engine, which takes a round trip
	// of 60 ms at most and no slot. reportAttempts covers idle connections that have ended.
	reportTimeout  = 500 * time.Millisecond
	reportAttempts = 3
	// maxReportBytes limits the size of a report.
	maxReportBytes = 256 << 10
)

// errEndNotVerified means that a response was ended by its connection only, and that its
// server does not run any more. The kernel of a killed process ends its connections in the
// same way as a server ends such a response.
var errEndNotVerified = fmt.Errorf("the connection and the server have ended: %w", io.ErrUnexpectedEOF)

// verifyEnd returns an error if a response that has been read to its end may be cut.
func (c *clientRequest) verifyEnd(t *target, response *backend.Response) error {
	if !response.UntilClose {
		return nil
	}
	// The response is here; it is not lost because the deadline passes during the check.
	ctx := context.WithoutCancel(c.ctx)
	isRunning := c.isListening
	if c.route.Kind == fleet.Stream {
		isRunning = c.isEngineRunning
	}
	if isRunning(ctx, t.server) {
		return nil
	}
	c.g.Metrics.Add("end_not_verified", 1)
	return errEndNotVerified
}

// isListening reports whether a process listens at the address of a server that has just
// ended a connection.
func (c *clientRequest) isListening(ctx context.Context, s *fleet.BackendServer) bool {
	return c.g.Pool.Accepts(ctx, s.Address, c.connectionLimit())
}

// isEngineRunning reports whether the engine that has just ended a connection still runs, and
// has not been started again since. An engine that does not state its start counts as
// running if it answers.
func (c *clientRequest) isEngineRunning(ctx context.Context, s *fleet.BackendServer) bool {
	var startedAtMS int64
	ask := func(ctx context.Context) (err error) {
		startedAtMS, err = c.askForStart(ctx, s.Address)
		return err
	}
	for range reportAttempts {
		err := liveness.Connect(ctx, ask)
		switch {
		case err == nil:
			return startedAtMS == 0 || s.StartedAtMS == 0 || startedAtMS == s.StartedAtMS
		case liveness.Refused(err) && errors.Is(err, backend.ErrNotSent):
			return false
		}
	}
	return false
}

// askForStart returns when the engine at an address was started, as a Unix time in
// milliseconds; 0 if it does not say so.
func (c *clientRequest) askForStart(ctx context.Context, address string) (startedAtMS int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := c.g.Pool.Exchange(ctx, address, 0, &backend.Request{
		Method: http.MethodGet, Target: c.g.Protocol.ReportTarget(), Host: address, Header: make(http.Header),
		MatchesResponse: func(http.Header) bool { return true },
	})
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil || response.Status != http.StatusOK {
		return 0, err
	}
	return c.g.Protocol.ReadReport(body), nil
}
