// Package logger writes log lines with a fixed prefix for each part.
package logger

import (
	"io"
	stdlog "log"
	"strings"

	"github.com/phuslu/log"
)

type (
	// Part is the log of one part of a node. It is safe for concurrent use.
	Logger struct {
		base   *log.Logger
		prefix string
		// bounded decides which lines there is room for; nil for all.
		bounded *RateLimitedWriter
	}

	// warnings takes the lines of the standard library's logger.
	warnings struct {
		part *Logger
	}
)

// New returns a log that writes lines of JSON to w. level is the least
// important level that is written: debug, info, warn or error. Where w is a
// *Bounded, lines for which it has no room are not made at all.
func New(w io.Writer, level string, node string) *Logger {
	base := &log.Logger{
		Level:   log.ParseLevel(level),
		Writer:  &log.IOWriter{Writer: w},
		Context: log.NewContext(nil).Str("node", node).Value(),
	}
	bounded, _ := w.(*RateLimitedWriter)
	return &Logger{base: base, prefix: "node: ", bounded: bounded}
}

// Debugf logs a detail.
func (p *Logger) Debugf(format string, args ...any) {
	if p.base.Level <= log.DebugLevel && p.admit(PriorityAnswer) {
		p.base.Debug().Msgf(p.prefix+format, args...)
	}
}

// Errorf logs a failure that needs an operator.
func (p *Logger) Errorf(format string, args ...any) {
	if p.admit(PriorityWarning) {
		p.base.Error().Msgf(p.prefix+format, args...)
	}
}

// Infof logs a normal event.
func (p *Logger) Infof(format string, args ...any) {
	if p.admit(PriorityEvent) {
		p.base.Info().Msgf(p.prefix+format, args...)
	}
}

// Part returns the log of the part of that name.
func (p *Logger) Named(name string) *Logger {
	return &Logger{base: p.base, prefix: name + ": ", bounded: p.bounded}
}

// Warnf logs a failure that the node survives by itself.
func (p *Logger) Warnf(format string, args ...any) {
	if p.admit(PriorityWarning) {
		p.base.Warn().Msgf(p.prefix+format, args...)
	}
}

// Standard returns a logger of the standard library whose lines are warnings.
func (p *Logger) Standard() *stdlog.Logger {
	return stdlog.New(warnings{p}, "", 0)
}

// Write logs one line of the standard library's logger.
func (w warnings) Write(line []byte) (n int, err error) {
	w.part.Warnf("%s", strings.TrimSpace(string(line)))
	return len(line), nil
}

func (p *Logger) admit(r Priority) bool {
	return p.bounded == nil || p.bounded.Allow(r)
}
