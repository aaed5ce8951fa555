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

// maxQueueLimit is far above any useful queue; it catches a mistyped number.
const maxQueueLimit = 100_000

// Error is one problem of a settings file. Its text is one line.
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

// file collects the problems of one settings file.
type file struct {
	path   string
	text   []byte
	values map[string]any // as written
	errors []error
}

// wrongType matches the decoder's message for a value of a wrong type.
var wrongType = regexp.MustCompile(`^cannot decode TOML (.+) into (?:a |struct field ).* (?:of type )?(\S+)$`)

// load decodes the file strictly into settings.
func load(path string, settings any) (*file, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var pe *os.PathError
		if errors.As(err, &pe) {
			err = pe.Err // the path is in Error.File
		}
		return nil, &Error{File: path, Reason: "cannot be read: " + err.Error()}
	}
	f := &file{path: path, text: text}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(settings)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		for i := range unknown.Errors {
			f.decodeError(&unknown.Errors[i], "unknown key")
		}
	case errors.As(err, &wrong):
		reason := strings.TrimPrefix(wrong.Error(), "toml: ")
		if m := wrongType.FindStringSubmatch(reason); m != nil {
			reason = fmt.Sprintf("is of type %s, needs %s", m[1], m[2])
		}
		f.decodeError(wrong, reason)
	default:
		f.errors = append(f.errors, &Error{File: path, Reason: oneLine(err.Error())})
	}
	if len(f.errors) > 0 {
		return nil, f.err()
	}
	return f, toml.Unmarshal(text, &f.values)
}

func (f *file) decodeError(e *toml.DecodeError, reason string) {
	line, _ := e.Position()
	f.errors = append(f.errors, &Error{
		File: f.path, Line: line, Key: strings.Join(e.Key(), "."), Reason: oneLine(reason),
	})
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

func (f *file) err() error { return errors.Join(f.errors...) }

func (f *file) fail(key, format string, args ...any) {
	f.errors = append(f.errors, &Error{File: f.path, Line: f.line(key), Key: key, Reason: fmt.Sprintf(format, args...)})
}

// line returns the line that sets a dotted key, or 0. It reads the plain forms
// of TOML: [table] headers and bare, possibly dotted keys.
func (f *file) line(key string) int {
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

func (f *file) required(key, value string) bool {
	if value == "" {
		f.fail(key, "is required")
	}
	return value != ""
}

func (f *file) hostPort(key, value string) {
	if !f.required(key, value) {
		return
	}
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		f.fail(key, "%q is not host:port", value)
		return
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		f.fail(key, "%q has no port between 0 and 65535", value)
	}
}

func (f *file) url(key, value string) {
	if !f.required(key, value) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		f.fail(key, "is not an http or https URL") // it may contain a password
	}
}

// fleetKey does not repeat the value, because the key is a secret.
func (f *file) fleetKey(key, value string) {
	if f.required(key, value) && len(value) < MinFleetKeyBytes {
		f.fail(key, "has %d bytes, needs at least %d", len(value), MinFleetKeyBytes)
	}
}

// duration refuses a bare number, which the decoder takes for nanoseconds.
func (f *file) duration(key string, d config.Duration) {
	if _, number := f.values[key].(int64); number {
		f.fail(key, "needs a unit, such as \"30s\"")
	} else if d <= 0 {
		f.fail(key, "must be longer than 0")
	}
}

func (f *file) between(key string, value, low, high int64) {
	if value < low || value > high {
		f.fail(key, "%d is not between %d and %d", value, low, high)
	}
}

func (f *file) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		f.fail(key, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}

func (f *file) common(l Log, t Trace) {
	f.oneOf("log.level", l.Level, "debug", "info", "warn", "error")
	f.oneOf("trace.exporter", string(t.Exporter), string(ExporterNone), string(ExporterStdout), string(ExporterOTLP))
	if t.Exporter == ExporterOTLP {
		f.url("trace.endpoint", t.Endpoint)
	}
}
