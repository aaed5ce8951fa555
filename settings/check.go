package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hyssoploom/config"
)

// maxQueueLimit is a number of requests far above any useful queue limit. It
// detects typing errors.
const maxQueueLimit = 100_000

// Error describes one problem of a settings file in a single line.
type Error struct {
	File   string
	Line   int    // 0 when the key is not in the file
	Key    string // dotted; empty when the file cannot be read
	Reason string
}

func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, ": %s", e.Key)
	}
	fmt.Fprintf(&b, ": %s", e.Reason)
	return b.String()
}

// settingsFile holds the content of a settings file and collects its problems.
type settingsFile struct {
	path      string
	text      []byte
	rawValues map[string]any // as written, before decoding into the settings
	errors    []error
}

// typeMismatch matches the message of the decoder for a value of the wrong type.
var typeMismatch = regexp.MustCompile(`^cannot decode TOML (.+) into (?:a |struct field ).* (?:of type )?(\S+)$`)

// decodeFile decodes a file into settings and rejects unknown keys.
func decodeFile(path string, settings any) (*settingsFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err // the path is in Error.File
		}
		return nil, &Error{File: path, Reason: "cannot be read: " + err.Error()}
	}
	f := &settingsFile{path: path, text: text}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(settings)
	var unknown *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		for i := range unknown.Errors {
			f.addDecodeError(&unknown.Errors[i], "unknown key")
		}
	case errors.As(err, &decodeErr):
		reason := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		if m := typeMismatch.FindStringSubmatch(reason); m != nil {
			reason = fmt.Sprintf("is of type %s, needs %s", m[1], m[2])
		}
		f.addDecodeError(decodeErr, reason)
	default:
		f.errors = append(f.errors, &Error{File: path, Reason: oneLine(err.Error())})
	}
	if len(f.errors) > 0 {
		return nil, f.err()
	}
	return f, toml.Unmarshal(text, &f.rawValues)
}

func (f *settingsFile) addDecodeError(e *toml.DecodeError, reason string) {
	line, _ := e.Position()
	f.errors = append(f.errors, &Error{
		File: f.path, Line: line, Key: strings.Join(e.Key(), "."), Reason: oneLine(reason),
	})
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

func (f *settingsFile) err() error { return errors.Join(f.errors...) }

func (f *settingsFile) addError(key, format string, args ...any) {
	f.errors = append(f.errors, &Error{File: f.path, Line: f.line(key), Key: key, Reason: fmt.Sprintf(format, args...)})
}

// line returns the number of the line that sets a dotted key, or 0 if it finds
// none. It recognizes only [table] headers and bare, possibly dotted keys.
func (f *settingsFile) line(key string) int {
	table := ""
	for i, l := range strings.Split(string(f.text), "\n") {
		l = strings.TrimSpace(l)
		if name, ok := strings.CutPrefix(l, "["); ok {
			name, _, _ = strings.Cut(name, "]")
			table = strings.TrimSpace(name) + "."
			continue
		}
		name, _, ok := strings.Cut(l, "=")
		if ok && table+strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 0
}

func (f *settingsFile) required(key, value string) bool {
	if value == "" {
		f.addError(key, "is required")
	}
	return value != ""
}

func (f *settingsFile) hostPort(key, value string) {
	if !f.required(key, value) {
		return
	}
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		f.addError(key, "%q is not host:port", value)
		return
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		f.addError(key, "%q has no port between 0 and 65535", value)
	}
}

func (f *settingsFile) url(key, value string) {
	if !f.required(key, value) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		f.addError(key, "is not an http or https URL") // the message omits the URL, which may contain a password
	}
}

// fleetKey checks that a fleet key is set and long enough. The messages omit the
// key, which is a secret.
func (f *settingsFile) fleetKey(key, value string) {
	if f.required(key, value) && len(value) < MinFleetKeyBytes {
		f.addError(key, "has %d bytes, needs at least %d", len(value), MinFleetKeyBytes)
	}
}

// duration rejects a bare number, which the decoder reads as nanoseconds.
func (f *settingsFile) duration(key string, d config.Duration) {
	if _, number := f.rawValues[key].(int64); number {
		f.addError(key, "needs a unit, such as \"30s\"")
	} else if d <= 0 {
		f.addError(key, "must be longer than 0")
	}
}

func (f *settingsFile) inRange(key string, value, low, high int64) {
	if value < low || value > high {
		f.addError(key, "%d is not between %d and %d", value, low, high)
	}
}

func (f *settingsFile) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		f.addError(key, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}

// logAndTrace checks the settings that all processes have.
func (f *settingsFile) logAndTrace(l Log, t Trace) {
	f.oneOf("log.level", l.Level, "debug", "info", "warn", "error")
	f.oneOf("trace.exporter", string(t.Exporter), string(ExporterNone), string(ExporterStdout), string(ExporterOTLP))
	if t.Exporter == ExporterOTLP {
		f.url("trace.endpoint", t.Endpoint)
	}
}
