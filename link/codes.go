package link

// The codes of an End that was cut on purpose, so that the entry resumes the
// answer on another backend server.
const (
	CodeDataCentreOut = "data_centre_out"
	CodeLeaving       = "backend_server_leaving"
)

// Moved reports whether an answer was cut to be resumed elsewhere.
func (e *End) Moved() bool { return e.Code == CodeDataCentreOut || e.Code == CodeLeaving }
