package securer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/emulator"
)

const testTimeout = 30 * time.Second

// issueFiles returns the files of a new certificate issued by own, with other as
// the authority of the peer.
func issueFiles(t *testing.T, own, other *emulator.CertificateAuthority, name string) Files {
	t.Helper()
	directory := t.TempDir()
	var (
		f   Files
		err error
	)
	if f.CertFile, f.KeyFile, err = own.IssueCertificate(directory, name); err != nil {
		t.Fatal(err)
	}
	if f.CAFile, err = other.WriteCertificate(directory); err != nil {
		t.Fatal(err)
	}
	return f
}

func newAuthority(t *testing.T, name string) *emulator.CertificateAuthority {
	t.Helper()
	a, err := emulator.NewCertificateAuthority(name)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newCertReloader(t *testing.T, f Files) *CertReloader {
	t.Helper()
	return newCertReloaderWithWarn(t, f, func(err error) { t.Errorf("got warning %v, want none", err) })
}

func newCertReloaderWithWarn(t *testing.T, f Files, warn func(error)) *CertReloader {
	t.Helper()
	s, err := New(f, warn)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// serveEcho starts a TLS server that echoes all data, and returns its address.
func serveEcho(t *testing.T, s *CertReloader) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	secured := s.WrapListener(l)
	go func() {
		for {
			conn, err := secured.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return l.Addr().String()
}

// echoOnce sends a word over TLS, reads it back, and returns the common name of
// the server's certificate.
func echoOnce(t *testing.T, s *CertReloader, address string) (peer string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := s.ClientHandshake(ctx, raw)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := conn.Write([]byte("word")); err != nil {
		return "", err
	}
	if _, err := io.ReadFull(conn, make([]byte, 4)); err != nil {
		return "", err
	}
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

func TestForeignCertificateIsRefused(t *testing.T) {
	own, foreign := newAuthority(t, "own"), newAuthority(t, "foreign")
	tests := []struct {
		name           string
		server, client Files
		want           bool
	}{
		{"both issued by the authority", issueFiles(t, own, own, "server"), issueFiles(t, own, own, "client"), true},
		{"foreign client", issueFiles(t, own, own, "server"), issueFiles(t, foreign, own, "client"), false},
		{"foreign server", issueFiles(t, foreign, own, "server"), issueFiles(t, own, own, "client"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := serveEcho(t, newCertReloader(t, tt.server))
			_, err := echoOnce(t, newCertReloader(t, tt.client), address)
			if got := err == nil; got != tt.want {
				t.Errorf("got error %v, want accepted: %t", err, tt.want)
			}
		})
	}
}

func TestFilesAreReloaded(t *testing.T) {
	own := newAuthority(t, "own")
	files := issueFiles(t, own, own, "before")
	var warned atomic.Bool
	address := serveEcho(t, newCertReloaderWithWarn(t, files, func(error) { warned.Store(true) }))
	client := newCertReloader(t, issueFiles(t, own, own, "client"))
	if got, err := echoOnce(t, client, address); err != nil || got != "before" {
		t.Fatalf("got server %q and error %v, want before", got, err)
	}

	// An invalid file must leave the old certificate in force.
	if err := os.WriteFile(files.CertFile, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "warning about the invalid file", func() bool {
		if got, err := echoOnce(t, client, address); err != nil || got != "before" {
			t.Fatalf("got server %q and error %v, want before", got, err)
		}
		return warned.Load()
	})

	after := issueFiles(t, own, own, "after")
	for from, to := range map[string]string{after.CertFile: files.CertFile, after.KeyFile: files.KeyFile} {
		if err := os.Rename(from, to); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "new certificate in use", func() bool {
		got, err := echoOnce(t, client, address)
		if err != nil {
			t.Fatal(err)
		}
		return got == "after"
	})
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %s for: %s", testTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestNewReportsInvalidFiles(t *testing.T) {
	own := newAuthority(t, "own")
	files := issueFiles(t, own, own, "server")
	missing, empty := files, files
	missing.KeyFile = files.KeyFile + ".missing"
	empty.CAFile = files.KeyFile
	tests := []struct {
		name  string
		files Files
	}{
		{"missing key file", missing},
		{"CA file without a certificate", empty},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := New(tt.files, func(error) {}); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}
