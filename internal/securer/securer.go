// Package securer sets up TLS between callers, nodes and operators from
// certificate files, and reloads the files when they change.
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

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

type (
	// NoCertificateError reports a file that contains no certificate.
	NoCertificateError struct {
		// File is the name of the file.
		File string
	}

	// Files are the names of PEM files.
	Files struct {
		// CertFile holds the local certificate, followed by the intermediate
		// certificates up to the authority.
		CertFile string
		// KeyFile holds the private key of CertFile.
		KeyFile string
		// CAFile holds the certificates of the authorities that issue the
		// peer's certificate. It is empty when the peer needs no certificate.
		CAFile string
	}

	// CertReloader provides TLS connections with the certificates that the
	// files held when they were last read without an error. It is safe for
	// concurrent use.
	CertReloader struct {
		files Files
		warn  func(err error)

		mu        sync.Mutex
		checkedAt time.Time
		modTimes  [3]time.Time
		current   credentials
	}

	// credentials are the parsed contents of Files. authorityPool is nil
	// without a CAFile.
	credentials struct {
		cert          tls.Certificate
		authorityPool *x509.CertPool
	}
)

// New reads the files and fails when one can't be read or is not valid. When a
// later reload fails, the previous certificates stay in force and warn is called
// with the error. warn must not be nil.
func New(files Files, warn func(err error)) (s *CertReloader, err error) {
	defer func() { err = errors.Wrap(err, "set up TLS") }()
	s = &CertReloader{files: files, warn: warn, checkedAt: time.Now()}
	if s.current, err = files.read(); err != nil {
		return nil, err
	}
	s.modTimes, err = files.modTimes()
	return s, err
}

// ClientHandshake performs the TLS handshake of the client side on conn. It
// closes conn when the handshake fails. The server's certificate must be issued
// by the authority. Its names are not checked, because instances are reached by
// IP addresses, which change.
func (s *CertReloader) ClientHandshake(ctx context.Context, conn net.Conn) (secured net.Conn, err error) {
	t := tls.Client(conn, s.ClientConfig())
	if err := t.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "perform TLS handshake")
	}
	return t, nil
}

// ClientConfig returns the TLS configuration for one connection to a server.
func (s *CertReloader) ClientConfig() *tls.Config {
	current := s.currentCredentials()
	return &tls.Config{
		Certificates: []tls.Certificate{current.cert},
		MinVersion:   tls.VersionTLS13,
		// Server names are not checked. VerifyConnection checks the rest.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServerCertificate(state, current.authorityPool)
		},
	}
}

// WrapListener returns a listener that accepts TLS connections from l. With a
// CAFile, clients must present a certificate issued by that authority.
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
	return fmt.Sprintf("file %s contains no PEM certificate", e.File)
}

// modTimes returns the modification times of CertFile, KeyFile and CAFile. The
// time is zero for a file without a name.
func (f Files) modTimes() (times [3]time.Time, err error) {
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

func (f Files) read() (c credentials, err error) {
	if c.cert, err = tls.LoadX509KeyPair(f.CertFile, f.KeyFile); err != nil {
		return c, errors.Wrapf(err, "load certificate %s with key %s", f.CertFile, f.KeyFile)
	}
	if f.CAFile == "" {
		return c, nil
	}
	data, err := os.ReadFile(f.CAFile)
	if err != nil {
		return c, err
	}
	c.authorityPool = x509.NewCertPool()
	if !c.authorityPool.AppendCertsFromPEM(data) {
		return c, &NoCertificateError{File: f.CAFile}
	}
	return c, nil
}

// currentCredentials returns the latest credentials. It reloads changed files at
// most once per checkInterval.
func (s *CertReloader) currentCredentials() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) >= checkInterval {
		s.checkedAt = time.Now()
		if err := s.reload(); err != nil {
			s.warn(err)
		}
	}
	return s.current
}

// reload reads the files again if one of them has changed. After an error the
// previous credentials stay in force.
func (s *CertReloader) reload() (err error) {
	defer func() { err = errors.Wrap(err, "reload TLS files") }()
	modTimes, err := s.files.modTimes()
	if err != nil || modTimes == s.modTimes {
		return err
	}
	next, err := s.files.read()
	if err != nil {
		return err
	}
	s.current, s.modTimes = next, modTimes
	return nil
}

func (s *CertReloader) serverConfig() *tls.Config {
	current := s.currentCredentials()
	c := &tls.Config{Certificates: []tls.Certificate{current.cert}, MinVersion: tls.VersionTLS13}
	if current.authorityPool != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = current.authorityPool
	}
	return c
}

// verifyServerCertificate checks that the server's certificate is issued by the
// authority.
func verifyServerCertificate(state tls.ConnectionState, authority *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
	})
	return err
}
