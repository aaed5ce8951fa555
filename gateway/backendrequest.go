package gateway

import (
	"context"
	"net/http"
	"time"

	"hyssoploom/backend"
	"hyssoploom/fleet"
)

// connectionLimit returns this entry's share of the connections that a backend server
// accepts, 0 if there is no limit.
func (c *clientRequest) connectionLimit() int { return c.g.connectionLimit(c.service) }

// connectionLimit returns this entry's share of the connections to a server of a service; 0
// means no limit.
func (g *Gateway) connectionLimit(service *fleet.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections/(g.EntryCount()+1), 1)
}

// priority returns the priority of the request; the workspace's overrides the route's.
func (c *clientRequest) priority() int {
	if c.workspace != nil && c.workspace.Priority >= 0 {
		return c.workspace.Priority
	}
	return c.route.Priority
}

func (c *clientRequest) backendRequest(ctx context.Context, t target) *backend.Request {
	send := ForwardMeta{ServerID: t.server.ID, Priority: c.priority(), Remaining: time.Until(c.deadline), Model: t.model, LastEvent: c.stream.lastID}
	if c.workspace != nil {
		send.Workspace = c.workspace.Name
	}
	header := c.g.Protocol.BackendHeader(c.r.Header, send)
	injectTrace(ctx, header)
	return &backend.Request{
		Method:          c.r.Method,
		Target:          c.r.RequestURI,
		Host:            c.r.Host,
		Header:          header,
		Body:            c.body,
		MatchesResponse: func(h http.Header) bool { return c.g.Protocol.MatchesRequest(h, c.meta.ID) },
	}
}
