package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

// Limits of record fields, and reasons that several checks report.
const (
	MaxWeight         = 1000.0
	MaxConcurrency    = 100_000       // concurrent requests on one backend server
	MaxPrice          = 1_000_000_000 // micro-units per token or call
	MaxExposureBudget = 100_000       // unrated answers of a version under test
	MaxRatingWait     = time.Minute
	MaxGrace          = time.Hour
	MaxServiceTimeout = time.Hour
	maxPriority       = 100
	keyHashBytes      = 32 // bytes of a SHA-256 digest
	minAgentPort      = 1
	reasonMissing     = "is missing"
	reasonListedTwice = "is listed twice"
	reasonInvalidName = "is not a valid name (letters, digits, '.', '_', '-', at most 63)"
)

// FieldError reports the key of an invalid field and the reason.
type FieldError struct {
	Key    string
	Reason string
}

func (e *FieldError) Error() string { return e.Key + ": " + e.Reason }

// checker collects a *FieldError for each invalid field of one record.
type checker struct{ errs []error }

func (c *checker) addError(key, format string, args ...any) {
	c.errs = append(c.errs, &FieldError{Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) inRange(key string, v, low, high float64) {
	if math.IsNaN(v) || v < low || v > high {
		c.addError(key, "%v is not between %v and %v", v, low, high)
	}
}

func (c *checker) duration(key string, d Duration, high time.Duration) {
	if v := time.Duration(d); v <= 0 || v > high {
		c.addError(key, "%v is not above 0 and at most %v", v, high)
	}
}

func oneOf[T ~string](c *checker, key string, v T, allowed ...T) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	if v == "" {
		c.addError(key, reasonMissing+"; use one of %q", allowed)
		return
	}
	c.addError(key, "%q is not one of %q", v, allowed)
}

// unique reports each element that is repeated.
func unique[T comparable](c *checker, key string, list []T) {
	seen := make(map[T]bool, len(list))
	for _, v := range list {
		if seen[v] {
			c.addError(key, "%v "+reasonListedTwice, v)
		}
		seen[v] = true
	}
}

func (c *checker) name(key, v string) {
	if !ValidName(v) {
		c.addError(key, "%q "+reasonInvalidName, v)
	}
}

func (w *Workspace) check(c *checker) {
	c.name("name", w.Name)
	for _, h := range w.KeyHashes {
		b, err := hex.DecodeString(h)
		if err != nil || len(b) != keyHashBytes || strings.ToLower(h) != h {
			c.addError("key_hashes", "%q is not a lower-case hex SHA-256 digest", h)
		}
	}
	unique(c, "key_hashes", w.KeyHashes)
	models := make([]string, 0, len(w.Allow))
	for i, g := range w.Allow {
		c.name(fmt.Sprintf("allow[%d].model", i), g.Model)
		unique(c, fmt.Sprintf("allow[%d].versions", i), g.Versions)
		models = append(models, g.Model)
	}
	unique(c, "allow", models)
	unique(c, "cascades", w.Cascades)
	unique(c, "services", w.Services)
	// With a weight of 0, fair queues would never serve the workspace.
	if w.Weight <= 0 || w.Weight > MaxWeight {
		c.addError("weight", "%v is not above 0 and at most %v", w.Weight, MaxWeight)
	}
	c.inRange("priority", float64(w.Priority), -maxPriority, maxPriority)
}

func (m *Model) check(c *checker) {
	c.name("name", m.Name)
	if len(m.Versions) == 0 {
		c.addError("versions", reasonMissing)
	}
	names := make([]string, 0, len(m.Versions))
	for _, v := range m.Versions {
		names = append(names, v.Version)
	}
	unique(c, "versions", names)
	for i, v := range m.Versions {
		v.check(c, fmt.Sprintf("versions[%d].", i), m)
	}
}

func (v ModelVersion) check(c *checker, at string, m *Model) {
	c.name(at+"version", v.Version)
	oneOf(c, at+"state", v.State, VersionActive, VersionDraining, VersionWithdrawn)
	oneOf(c, at+"on_withdraw", v.OnWithdraw, WithdrawRefuse, WithdrawRepin)
	c.inRange(at+"weight", v.Weight, 0, MaxWeight)
	c.inRange(at+"price_in", float64(v.PriceIn), 0, MaxPrice)
	c.inRange(at+"price_out", float64(v.PriceOut), 0, MaxPrice)
	c.inRange(at+"exposure_budget", float64(v.ExposureBudget), 0, MaxExposureBudget)
	if v.Baseline == "" {
		return
	}
	if _, ok := m.Version(v.Baseline); !ok || v.Baseline == v.Version {
		c.addError(at+"baseline", "%q is not another version of this model", v.Baseline)
	}
}

func (k *Cascade) check(c *checker) {
	c.name("name", k.Name)
	if len(k.Stages) == 0 {
		c.addError("stages", reasonMissing)
	}
	unique(c, "stages", k.Stages)
	if k.QualityTarget <= 0 || k.QualityTarget > 1 {
		c.addError("quality_target", "%v is not above 0 and at most 1", k.QualityTarget)
	}
	c.duration("rate_wait", k.RatingWait, MaxRatingWait)
	oneOf(c, "on_rater_down", k.OnRaterDown, RaterDownPass, RaterDownEscalate)
}

func (d *DataCentre) check(c *checker) {
	c.name("name", d.Name)
	if d.Region == "" {
		c.addError("region", reasonMissing)
	}
	oneOf(c, "state", d.State, DataCentreIn, DataCentreOut)
	c.duration("grace", d.Grace, MaxGrace)
}

func (b *BackendServer) check(c *checker) {
	c.name("name", b.Name)
	if b.VM == "" {
		c.addError("vm", reasonMissing)
	}
	c.name("data_centre", b.DataCentre)
	if a, err := netip.ParseAddrPort(b.AgentAddr); err != nil || a.Port() < minAgentPort {
		c.addError("agent_addr", "%q is not an IP address and port", b.AgentAddr)
	}
	oneOf(c, "state", b.State, BackendServerIn, BackendServerLeaving, BackendServerOut)
	if b.Service != "" && len(b.Serves) > 0 {
		c.addError("service", "cannot be set together with serves; a backend server runs a service or model versions, not both")
	}
	unique(c, "serves", b.Serves)
	c.inRange("warm_limit", float64(b.WarmLimit), 1, MaxConcurrency)
	c.inRange("cold_limit", float64(b.ColdLimit), 1, float64(max(1, b.WarmLimit)))
}

var methodPattern = regexp.MustCompile(`^[A-Z]+$`)

func (s *Service) check(c *checker) {
	c.name("name", s.Name)
	for _, m := range s.Repeatable {
		if !methodPattern.MatchString(m) {
			c.addError("repeatable", "%q is not an HTTP method", m)
		}
	}
	unique(c, "repeatable", s.Repeatable)
	c.inRange("price", float64(s.Price), 0, MaxPrice)
	c.duration("timeout", s.Timeout, MaxServiceTimeout)
}

func (q *Quarantine) check(c *checker) {
	c.name("model", q.Model)
	c.name("version", q.Version)
}
