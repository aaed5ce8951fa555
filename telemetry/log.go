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
	base := &log.Logger{Level: levelOf(level), Writer: &log.IOWriter{Writer: w}}
	return &Logger{base: base, prefix: part + ": "}
}

// SetLevel changes the least level of the lines that are written, for all parts of
// the logger. It takes the names of NewLogger.
func (l *Logger) SetLevel(level string) { l.base.SetLevel(levelOf(level)) }

func levelOf(name string) log.Level {
	level := log.ParseLevel(name)
	if level < log.DebugLevel || level > log.ErrorLevel {
		return log.InfoLevel
	}
	return level
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
