// Package securer sets up TLS between callers, nodes and operators from files,
// and takes the files up again when they change.
package securer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// lookInterval is how often the files are looked at, at most.
const lookInterval = time.Second

type (
	// EmptyError says that a file holds no certificate.
	NoCertificateError struct {
		// File is the file's name.
		File string
	}

	// Files name PEM files.
	Files struct {
		// Cert is the own certificate, with those between it and the
		// authority.
		CertFile string
		// Key is the private key of Cert.
		KeyFile string
		// Authority are the certificates that the other side's must come
		// from. Empty when the other side needs none.
		CAFile string
	}

	// Securer holds what the files held last. It is safe for concurrent use.
	CertReloader struct {
		files Files
		warn  func(err error)

		mu      sync.Mutex
		looked  time.Time
		changed [3]time.Time
		current material
	}

	material struct {
		cert      tls.Certificate
		authority *x509.CertPool
	}
)

// New reads the files. Later on, files that can't be read leave in force what
// they held before, and warn is told; it is never nil.
func New(files Files, warn func(err error)) (s *CertReloader, err error) {
	defer func() { err = errors.Wrap(err, "set up TLS") }()
	s = &CertReloader{files: files, warn: warn, looked: time.Now()}
	if s.current, err = files.read(); err != nil {
		return nil, err
	}
	s.changed, err = files.changed()
	return s, err
}

// Client makes conn, which was dialed to a server, a TLS connection, or closes
// it. The server's certificate must come from the authority; its names do not
// count, because instances are reached by IP numbers that move.
func (s *CertReloader) ClientHandshake(ctx context.Context, conn net.Conn) (secured net.Conn, err error) {
	t := tls.Client(conn, s.ClientConfig())
	if err := t.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "set up TLS connection")
	}
	return t, nil
}

// ClientConfig returns the settings of one connection to a server.
func (s *CertReloader) ClientConfig() *tls.Config {
	m := s.material()
	return &tls.Config{
		Certificates: []tls.Certificate{m.cert},
		MinVersion:   tls.VersionTLS13,
		// Without names to check, VerifyConnection does all that is left.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, m.authority)
		},
	}
}

// Listen makes the connections of l TLS connections. With an authority the
// other side has to show a certificate from it.
func (s *CertReloader) WrapListener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(), nil
		},
	})
}

// Error names the file.
func (e *NoCertificateError) Error() string {
	return fmt.Sprintf("%s holds no PEM certificate", e.File)
}

func (f Files) changed() (times [3]time.Time, err error) {
	for i, name := range []string{f.CertFile, f.KeyFile, f.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return times, err
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (f Files) read() (m material, err error) {
	if m.cert, err = tls.LoadX509KeyPair(f.CertFile, f.KeyFile); err != nil {
		return m, errors.Wrapf(err, "certificate %s with key %s", f.CertFile, f.KeyFile)
	}
	if f.CAFile == "" {
		return m, nil
	}
	data, err := os.ReadFile(f.CAFile)
	if err != nil {
		return m, err
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(data) {
		return m, &NoCertificateError{File: f.CAFile}
	}
	return m, nil
}

// material returns what the files hold now.
func (s *CertReloader) material() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.looked) >= lookInterval {
		s.looked = time.Now()
		if err := s.reload(); err != nil {
			s.warn(err)
		}
	}
	return s.current
}

func (s *CertReloader) reload() (err error) {
	defer func() { err = errors.Wrap(err, "read TLS files again") }()
	changed, err := s.files.changed()
	if err != nil || changed == s.changed {
		return err
	}
	m, err := s.files.read()
	if err != nil {
		return err
	}
	s.current, s.changed = m, changed
	return nil
}

func (s *CertReloader) serverConfig() *tls.Config {
	m := s.material()
	c := &tls.Config{Certificates: []tls.Certificate{m.cert}, MinVersion: tls.VersionTLS13}
	if m.authority != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = m.authority
	}
	return c
}

// verify checks that the server's certificate comes from the authority.
func verify(state tls.ConnectionState, authority *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server shows no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: between,
	})
	return err
}
