package emulator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

const certificateLifetime = 24 * time.Hour

// CertificateAuthority emulates an operator's certificate authority.
type CertificateAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCertificateAuthority returns a CertificateAuthority with a new key.
func NewCertificateAuthority(name string) (a *CertificateAuthority, err error) {
	defer func() { err = errors.Wrap(err, "make certificate authority") }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificateTemplate(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	data, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(data)
	return &CertificateAuthority{cert: cert, key: key}, err
}

// IssueCertificate writes a new certificate and its private key into a
// directory. The certificate is valid for certificateLifetime.
func (a *CertificateAuthority) IssueCertificate(directory, name string) (certFile, keyFile string, err error) {
	defer func() { err = errors.Wrapf(err, "issue certificate %q", name) }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	template := certificateTemplate(name)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	data, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return "", "", err
	}
	certFile = filepath.Join(directory, name+".pem")
	if err := writePEM(certFile, "CERTIFICATE", data); err != nil {
		return "", "", err
	}
	keyFile = filepath.Join(directory, name+"-key.pem")
	return certFile, keyFile, writePEM(keyFile, "PRIVATE KEY", private)
}

// WriteCertificate writes the authority's own certificate into a directory.
func (a *CertificateAuthority) WriteCertificate(directory string) (file string, err error) {
	file = filepath.Join(directory, a.cert.Subject.CommonName+".pem")
	return file, writePEM(file, "CERTIFICATE", a.cert.Raw)
}

func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
}

func writePEM(file, kind string, data []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)
}
