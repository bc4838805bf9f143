package flamingotack

import (
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/securer"
)

// security is the TLS of each kind of address; nil where there is none.
type security struct {
	admin  *securer.CertReloader
	caller *securer.CertReloader
	peers  *securer.CertReloader
}

func newSecurity(s parser.Settings, l *logger.Logger) (c security, err error) {
	if !s.UsesTLS() {
		return c, nil
	}
	warn := func(err error) { l.Warnf("Keeps the certificates it has: %v.", err) }
	files := securer.Files{CertFile: s.CertFile, KeyFile: s.KeyFile}
	if c.caller, err = securer.New(files, warn); err != nil {
		return c, err
	}
	files.CAFile = s.CAFile
	if c.peers, err = securer.New(files, warn); err != nil {
		return c, err
	}
	if s.OperatorCAFile == "" {
		return c, nil
	}
	files.CAFile = s.OperatorCAFile
	c.admin, err = securer.New(files, warn)
	return c, err
}

// cover puts TLS on the listeners.
func (c security) cover(l *listeners) {
	if c.caller != nil {
		l.caller = c.caller.WrapListener(l.caller)
	}
	if c.peers != nil {
		l.peer = c.peers.WrapListener(l.peer)
	}
	if c.admin != nil {
		l.admin = c.admin.WrapListener(l.admin)
	}
}
