// Package logger writes JSON log lines with a prefix for each component.
package logger

import (
	"io"
	stdlog "log"
	"strings"

	"github.com/phuslu/log"
)

type (
	// Logger is the logger of one component of a node. It is safe for concurrent
	// use.
	Logger struct {
		base   *log.Logger
		prefix string
		// limiter decides which lines are within the rate; nil means no limit.
		limiter *RateLimitedWriter
	}

	// warningWriter logs lines of the standard library's logger as warnings.
	warningWriter struct {
		logger *Logger
	}
)

// New returns a Logger that writes JSON lines to w. level is the minimum level
// that is written: debug, info, warn or error. If w is a *RateLimitedWriter,
// lines above its rate are not even formatted.
func New(w io.Writer, level string, node string) *Logger {
	base := &log.Logger{
		Level:   log.ParseLevel(level),
		Writer:  &log.IOWriter{Writer: w},
		Context: log.NewContext(nil).Str("node", node).Value(),
	}
	limiter, _ := w.(*RateLimitedWriter)
	return &Logger{base: base, prefix: "node: ", limiter: limiter}
}

// Debugf logs a message for debugging.
func (l *Logger) Debugf(format string, args ...any) {
	if l.base.Level <= log.DebugLevel && l.allow(PriorityAnswer) {
		l.base.Debug().Msgf(l.prefix+format, args...)
	}
}

// Errorf logs a failure that an operator must resolve.
func (l *Logger) Errorf(format string, args ...any) {
	if l.allow(PriorityWarning) {
		l.base.Error().Msgf(l.prefix+format, args...)
	}
}

// Infof logs a normal event.
func (l *Logger) Infof(format string, args ...any) {
	if l.allow(PriorityEvent) {
		l.base.Info().Msgf(l.prefix+format, args...)
	}
}

// Named returns the logger of the component with the given name.
func (l *Logger) Named(name string) *Logger {
	return &Logger{base: l.base, prefix: name + ": ", limiter: l.limiter}
}

// Warnf logs a failure from which the node recovers by itself.
func (l *Logger) Warnf(format string, args ...any) {
	if l.allow(PriorityWarning) {
		l.base.Warn().Msgf(l.prefix+format, args...)
	}
}

// Standard returns a logger of the standard library that logs to l as warnings.
func (l *Logger) Standard() *stdlog.Logger {
	return stdlog.New(warningWriter{l}, "", 0)
}

// Write logs one line of the standard library's logger.
func (w warningWriter) Write(line []byte) (n int, err error) {
	w.logger.Warnf("%s", strings.TrimSpace(string(line)))
	return len(line), nil
}

func (l *Logger) allow(p Priority) bool {
	return l.limiter == nil || l.limiter.Allow(p)
}
