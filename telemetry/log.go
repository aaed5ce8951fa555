// Package telemetry provides logs, spans and metrics.
package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// Logger writes short sentences that start with the fixed prefix of one part
// of the system.
type Logger struct {
	base   *log.Logger
	prefix string
	// level is the least level that is written. It is kept here because the
	// library's own cannot change while lines are written.
	level *atomic.Uint32
}

// NewLogger returns a logger for one part. Level is one of debug, info, warn
// and error; any other value means info.
func NewLogger(w io.Writer, level, part string) *Logger {
	l := &Logger{
		base:   &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: w}},
		prefix: part + ": ", level: new(atomic.Uint32),
	}
	l.SetLevel(level)
	return l
}

// SetLevel changes the least level of the lines that are written, for all parts of
// the logger. It takes the names of NewLogger.
func (l *Logger) SetLevel(level string) { l.level.Store(uint32(levelOf(level))) }

func levelOf(name string) log.Level {
	level := log.ParseLevel(name)
	if level < log.DebugLevel || level > log.ErrorLevel {
		return log.InfoLevel
	}
	return level
}

// SetProcess makes all further lines of the logger and of its parts carry the name of
// the process.
func (l *Logger) SetProcess(process string) *Logger {
	l.base.Context = log.NewContext(nil).Str("process", process).Value()
	return l
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return NewLogger(io.Discard, "error", "discard") }

// Base returns the underlying logger with the level of now, for packages that take
// one.
func (l *Logger) Base() *log.Logger {
	return &log.Logger{Level: log.Level(l.level.Load()), Context: l.base.Context, Writer: l.base.Writer}
}

// WithComponent returns a logger with the same output for another part.
func (l *Logger) WithComponent(part string) *Logger {
	return &Logger{base: l.base, prefix: part + ": ", level: l.level}
}

// Debug logs msg with alternating keys and values.
func (l *Logger) Debug(msg string, kv ...any) { l.write(log.DebugLevel, msg, kv) }

// Info logs msg with alternating keys and values.
func (l *Logger) Info(msg string, kv ...any) { l.write(log.InfoLevel, msg, kv) }

// Warn logs msg with alternating keys and values.
func (l *Logger) Warn(msg string, kv ...any) { l.write(log.WarnLevel, msg, kv) }

// Error logs msg with alternating keys and values.
func (l *Logger) Error(msg string, kv ...any) { l.write(log.ErrorLevel, msg, kv) }

func (l *Logger) write(level log.Level, msg string, kv []any) {
	if uint32(level) < l.level.Load() {
		return
	}
	l.base.WithLevel(level).KeysAndValues(kv...).Msg(l.prefix + msg)
}
