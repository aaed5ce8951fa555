package link

// Codes of an End that the agent sends for an answer that it interrupted so that
// the entry resumes it on another backend server.
const (
	CodeDataCentreOut = "data_centre_out"
	CodeLeaving       = "backend_server_leaving"
)

// CodeRejected is the code of an End whose backend server rejected the request as
// invalid. Another backend server would reject it too, so it is not retried.
const CodeRejected = "request_rejected"

// CodeDeadline is the code of a Refusal or End of a request whose deadline has
// passed at the agent.
const CodeDeadline = "deadline_passed"

// Moved reports whether the answer was interrupted to be resumed on another
// backend server.
func (e *End) Moved() bool { return e.Code == CodeDataCentreOut || e.Code == CodeLeaving }
