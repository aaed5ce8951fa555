package link

import (
	"errors"
	"fmt"
)

// Errors that carry no further data.
var (
	ErrLinkDown         = errors.New("link: no connection")
	ErrUnknownPeer      = errors.New("link: unknown peer")
	ErrOverloaded       = errors.New("link: too many bytes wait to be sent")
	ErrReceiveTimeout   = errors.New("link: nothing received from the peer in time")
	ErrSuperseded       = errors.New("link: replaced by a newer connection of the same peer")
	ErrCanceled         = errors.New("link: stream canceled by the entry")
	ErrSessionExpired   = errors.New("link: entry did not reconnect in time")
	ErrFinished         = errors.New("link: stream already finished")
	ErrRefusedAfterSend = errors.New("link: refused after payloads were sent")
)

// NotSentError reports that the agent cannot have received the request.
type NotSentError struct{ Reason error }

func (e *NotSentError) Error() string { return "link: request not sent: " + e.Reason.Error() }

func (e *NotSentError) Unwrap() error { return e.Reason }

// RefusedError reports that the agent refused the request without executing it.
type RefusedError struct{ Refusal Refusal }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("link: request refused: %s: %s", e.Refusal.Code, e.Refusal.Message)
}

// BrokenReason describes why a stream ended without a verified End.
type BrokenReason string

// Reasons of a BrokenError.
const (
	BrokenAgentRestarted   BrokenReason = "the agent restarted"
	BrokenSessionExpired   BrokenReason = "the agent gave up the streams of a lost link"
	BrokenLinkLost         BrokenReason = "the link did not come back in time"
	BrokenUnknownStream    BrokenReason = "the agent does not know the stream"
	BrokenChecksumMismatch BrokenReason = "the answer does not match its frame count and checksum"
	BrokenFramesMissing    BrokenReason = "frames of the answer are missing"
	BrokenClientStopped    BrokenReason = "the client was stopped"
	BrokenCanceled         BrokenReason = "the stream was canceled"
)

// BrokenError reports that a stream ended without a verified End.
type BrokenError struct {
	Reason BrokenReason
	// RequestSent is false if the agent cannot have received the whole request.
	RequestSent bool
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("link: stream broken: %s (handed over: %t)", e.Reason, e.RequestSent)
}

// TooLargeError reports a frame, payload or request over its size limit.
type TooLargeError struct {
	What        string
	Size, Limit int // bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("link: %s of %d bytes is over the limit of %d", e.What, e.Size, e.Limit)
}

// ProtocolError reports a frame that cannot be decoded or violates the protocol.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return "link: protocol error: " + e.Reason }

// HandshakeCode identifies why a handshake failed.
type HandshakeCode string

// Codes of a HandshakeError.
const (
	HandshakeKeyMismatch     HandshakeCode = "fleet_key"
	HandshakeVersionMismatch HandshakeCode = "protocol_version"
	HandshakeNameMismatch    HandshakeCode = "peer_name"
)

// HandshakeError reports that one side rejected the other during the handshake.
type HandshakeError struct {
	Code   HandshakeCode
	Detail string
	// Remote is set if the peer detected the mismatch.
	Remote bool
}

func (e *HandshakeError) Error() string {
	if e.Remote {
		return fmt.Sprintf("link: peer rejected the handshake: %s: %s", e.Code, e.Detail)
	}
	return fmt.Sprintf("link: handshake failed: %s: %s", e.Code, e.Detail)
}
