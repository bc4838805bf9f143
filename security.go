package flamingotack

import (
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/securer"
)

// security is the TLS of each kind of address; nil where there is none.
type security struct {
	admin  *securer.Securer
	caller *securer.Securer
	peers  *securer.Securer
}

func newSecurity(s parser.Settings, l *logger.Logger) (c security, err error) {
	if !s.Secure() {
		return c, nil
	}
	warn := func(err error) { l.Warnf("Keeps the certificates it has: %v.", err) }
	files := securer.Files{Cert: s.Cert, Key: s.Key}
	if c.caller, err = securer.New(files, warn); err != nil {
		return c, err
	}
	files.Authority = s.Authority
	if c.peers, err = securer.New(files, warn); err != nil {
		return c, err
	}
	if s.Operators == "" {
		return c, nil
	}
	files.Authority = s.Operators
	c.admin, err = securer.New(files, warn)
	return c, err
}

// cover puts TLS on the listeners.
func (c security) cover(l *listeners) {
	if c.caller != nil {
		l.caller = c.caller.Listen(l.caller)
	}
	if c.peers != nil {
		l.peer = c.peers.Listen(l.peer)
	}
	if c.admin != nil {
		l.admin = c.admin.Listen(l.admin)
	}
}
