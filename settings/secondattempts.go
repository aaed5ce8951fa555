package settings

// SecondAttempts limits the extra requests that are sent to backend servers to cut the
// slowest answers.
type SecondAttempts struct {
	// ExtraShare is the largest number of second attempts per request of a service, over
	// all entries; 0 turns second attempts off.
	ExtraShare float64 `toml:"extra_share"`
	// Services overrides ExtraShare by service.
	Services map[string]float64 `toml:"services"`
}

// Share returns the extra share of a service.
func (s *SecondAttempts) Share(service string) float64 {
	if share, ok := s.Services[service]; ok {
		return share
	}
	return s.ExtraShare
}

func (f *settingsFile) secondAttempts(s *SecondAttempts) {
	f.isShare("second_attempts.extra_share", s.ExtraShare)
	for service, share := range s.Services {
		f.isShare("second_attempts.services."+service, share)
	}
}

func (f *settingsFile) isShare(key string, share float64) {
	if !(share >= 0 && share <= 1) {
		f.addError(key, "must be a number from 0 to 1")
	}
}
