// Package telemetry provides logging, tracing and metrics.
package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// Logger writes structured log lines as JSON. Each message is prefixed with the name
// of the component that logs it.
type Logger struct {
	base   *log.Logger
	prefix string
	// level is the minimum level of lines that are written. It is shared by the loggers
	// of all components and replaces log.Logger.Level, which cannot be changed safely
	// while other goroutines log.
	level *atomic.Uint32
}

// NewLogger returns a logger for one component. level is one of debug, info, warn and
// error; any other value means info.
func NewLogger(w io.Writer, level, component string) *Logger {
	l := &Logger{
		base:   &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: w}},
		prefix: component + ": ", level: new(atomic.Uint32),
	}
	l.SetLevel(level)
	return l
}

// SetLevel changes the minimum level of lines that are written, also for all loggers
// derived from the same one by WithComponent. It accepts the same names as NewLogger.
func (l *Logger) SetLevel(level string) { l.level.Store(uint32(parseLevel(level))) }

func parseLevel(name string) log.Level {
	level := log.ParseLevel(name)
	if level < log.DebugLevel || level > log.ErrorLevel {
		return log.InfoLevel
	}
	return level
}

// SetProcess adds a field with the name of the process to all further lines of l and
// of the loggers that WithComponent derived from the same one. It returns l. It must
// not be called while other goroutines log.
func (l *Logger) SetProcess(process string) *Logger {
	l.base.Context = log.NewContext(nil).Str("process", process).Value()
	return l
}

// Discard returns a logger that discards all lines.
func Discard() *Logger { return NewLogger(io.Discard, "error", "discard") }

// Base returns a logger of the underlying library with the same output, for packages
// that need one. Its level is the current one; later calls of SetLevel do not change
// it.
func (l *Logger) Base() *log.Logger {
	return &log.Logger{Level: log.Level(l.level.Load()), Context: l.base.Context, Writer: l.base.Writer}
}

// WithComponent returns a logger for another component that shares the output, level
// and process of l.
func (l *Logger) WithComponent(component string) *Logger {
	return &Logger{base: l.base, prefix: component + ": ", level: l.level}
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
