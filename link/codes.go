package link

// The codes of an End that was cut on purpose, so that the entry resumes the
// answer on another backend server.
const (
	CodeDataCentreOut = "data_centre_out"
	CodeLeaving       = "backend_server_leaving"
)

// CodeRejected is the code of an End whose backend server found the request at
// fault; another backend server would too.
const CodeRejected = "request_rejected"

// CodeDeadline is the code of a refusal or End of a request whose deadline has
// passed at the agent.
const CodeDeadline = "deadline_passed"

// Moved reports whether an answer was cut to be resumed elsewhere.
func (e *End) Moved() bool { return e.Code == CodeDataCentreOut || e.Code == CodeLeaving }
