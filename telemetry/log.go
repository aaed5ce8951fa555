// Package telemetry provides logs, spans and metrics.
package telemetry

import (
	"io"

	"github.com/phuslu/log"
)

// Logger writes short sentences that start with the fixed prefix of one part
// of the system.
type Logger struct {
	base   *log.Logger
	prefix string
}

// NewLogger returns a logger for one part. Level is one of debug, info, warn
// and error; any other value means info.
func NewLogger(w io.Writer, level, part string) *Logger {
	base := &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}}
	if base.Level < log.DebugLevel || base.Level > log.ErrorLevel {
		base.Level = log.InfoLevel
	}
	return &Logger{base: base, prefix: part + ": "}
}

// Named makes all further lines of the logger and of its parts carry the name of
// the process.
func (l *Logger) Named(process string) *Logger {
	l.base.Context = log.NewContext(nil).Str("process", process).Value()
	return l
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return NewLogger(io.Discard, "error", "discard") }

// Base returns the underlying logger, for packages that take one.
func (l *Logger) Base() *log.Logger { return l.base }

// Part returns a logger with the same output for another part.
func (l *Logger) Part(part string) *Logger {
	return &Logger{base: l.base, prefix: part + ": "}
}

// Debug logs msg with alternating keys and values.
func (l *Logger) Debug(msg string, kv ...any) {
	l.base.Debug().KeysAndValues(kv...).Msg(l.prefix + msg)
}

// Info logs msg with alternating keys and values.
func (l *Logger) Info(msg string, kv ...any) { l.base.Info().KeysAndValues(kv...).Msg(l.prefix + msg) }

// Warn logs msg with alternating keys and values.
func (l *Logger) Warn(msg string, kv ...any) { l.base.Warn().KeysAndValues(kv...).Msg(l.prefix + msg) }

// Error logs msg with alternating keys and values.
func (l *Logger) Error(msg string, kv ...any) {
	l.base.Error().KeysAndValues(kv...).Msg(l.prefix + msg)
}
