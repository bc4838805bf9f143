package flamingotack

import (
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/securer"
)

// security holds the TLS configuration of each kind of address; nil for
// addresses without TLS.
type security struct {
	admin  *securer.Securer
	caller *securer.Securer
	peers  *securer.Securer
}

func newSecurity(settings parser.Settings, log *logger.Logger) (sec security, err error) {
	if !settings.Secure() {
		return sec, nil
	}
	warn := func(err error) { log.Warnf("certificate reload failed, previous certificates stay in use: %v", err) }
	files := securer.Files{Cert: settings.Cert, Key: settings.Key}
	if sec.caller, err = securer.New(files, warn); err != nil {
		return sec, err
	}
	files.Authority = settings.Authority
	if sec.peers, err = securer.New(files, warn); err != nil {
		return sec, err
	}
	if settings.Operators == "" {
		return sec, nil
	}
	files.Authority = settings.Operators
	sec.admin, err = securer.New(files, warn)
	return sec, err
}

// wrapListeners adds TLS to the listeners.
func (s security) wrapListeners(l *listeners) {
	if s.caller != nil {
		l.caller = s.caller.Listen(l.caller)
	}
	if s.peers != nil {
		l.peer = s.peers.Listen(l.peer)
	}
	if s.admin != nil {
		l.admin = s.admin.Listen(l.admin)
	}
}
