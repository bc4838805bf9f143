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
	Part struct {
		base   *log.Logger
		prefix string
		// bounded decides which lines there is room for; nil for all.
		bounded *Bounded
	}

	// warnings takes the lines of the standard library's logger.
	warnings struct {
		part *Part
	}
)

// New returns a log that writes lines of JSON to w. level is the least
// important level that is written: debug, info, warn or error. Where w is a
// *Bounded, lines for which it has no room are not made at all.
func New(w io.Writer, level string, node string) *Part {
	base := &log.Logger{
		Level:   log.ParseLevel(level),
		Writer:  &log.IOWriter{Writer: w},
		Context: log.NewContext(nil).Str("node", node).Value(),
	}
	bounded, _ := w.(*Bounded)
	return &Part{base: base, prefix: "node: ", bounded: bounded}
}

// Debugf logs a detail.
func (p *Part) Debugf(format string, args ...any) {
	if p.base.Level <= log.DebugLevel && p.admit(RankAnswer) {
		p.base.Debug().Msgf(p.prefix+format, args...)
	}
}

// Errorf logs a failure that needs an operator.
func (p *Part) Errorf(format string, args ...any) {
	if p.admit(RankWarning) {
		p.base.Error().Msgf(p.prefix+format, args...)
	}
}

// Infof logs a normal event.
func (p *Part) Infof(format string, args ...any) {
	if p.admit(RankEvent) {
		p.base.Info().Msgf(p.prefix+format, args...)
	}
}

// Part returns the log of the part of that name.
func (p *Part) Part(name string) *Part {
	return &Part{base: p.base, prefix: name + ": ", bounded: p.bounded}
}

// Warnf logs a failure that the node survives by itself.
func (p *Part) Warnf(format string, args ...any) {
	if p.admit(RankWarning) {
		p.base.Warn().Msgf(p.prefix+format, args...)
	}
}

// Standard returns a logger of the standard library whose lines are warnings.
func (p *Part) Standard() *stdlog.Logger {
	return stdlog.New(warnings{p}, "", 0)
}

// Write logs one line of the standard library's logger.
func (w warnings) Write(line []byte) (n int, err error) {
	w.part.Warnf("%s", strings.TrimSpace(string(line)))
	return len(line), nil
}

func (p *Part) admit(r Rank) bool {
	return p.bounded == nil || p.bounded.Admit(r)
}
