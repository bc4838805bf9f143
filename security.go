package flamingotack

import (
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/securer"
)

// security holds the TLS configuration of each kind of address; nil for
// addresses without TLS.
type security struct {
	admin  *securer.CertReloader
	caller *securer.CertReloader
	peers  *securer.CertReloader
}

func newSecurity(settings parser.Settings, log *logger.Logger) (sec security, err error) {
	if !settings.UsesTLS() {
		return sec, nil
	}
	warn := func(err error) { log.Warnf("certificate reload failed, previous certificates stay in use: %v", err) }
	files := securer.Files{CertFile: settings.CertFile, KeyFile: settings.KeyFile}
	if sec.caller, err = securer.New(files, warn); err != nil {
		return sec, err
	}
	files.CAFile = settings.CAFile
	if sec.peers, err = securer.New(files, warn); err != nil {
		return sec, err
	}
	if settings.OperatorCAFile == "" {
		return sec, nil
	}
	files.CAFile = settings.OperatorCAFile
	sec.admin, err = securer.New(files, warn)
	return sec, err
}

// wrapListeners adds TLS to the listeners.
func (s security) wrapListeners(l *listeners) {
	if s.caller != nil {
		l.caller = s.caller.WrapListener(l.caller)
	}
	if s.peers != nil {
		l.peer = s.peers.WrapListener(l.peer)
	}
	if s.admin != nil {
		l.admin = s.admin.WrapListener(l.admin)
	}
}
