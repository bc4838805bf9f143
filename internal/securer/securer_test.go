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

// issue returns the files of a new certificate, to be checked against the
// other side's authority.
func issue(t *testing.T, own, other *emulator.CertificateAuthority, name string) Files {
	t.Helper()
	directory := t.TempDir()
	var (
		f   Files
		err error
	)
	if f.Cert, f.Key, err = own.IssueCertificate(directory, name); err != nil {
		t.Fatal(err)
	}
	if f.Authority, err = other.WriteCertificate(directory); err != nil {
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

func newSecurer(t *testing.T, f Files) *Securer {
	t.Helper()
	return newWarnedSecurer(t, f, func(err error) { t.Errorf("warned: %v", err) })
}

func newWarnedSecurer(t *testing.T, f Files, warn func(error)) *Securer {
	t.Helper()
	s, err := New(f, warn)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// serve echoes what comes over TLS.
func serve(t *testing.T, s *Securer) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	secured := s.Listen(l)
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

// exchange sends a word over TLS and reads it back.
func exchange(t *testing.T, s *Securer, address string) (peer string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := s.Client(ctx, raw)
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

func TestForeignCertificateIsTurnedAway(t *testing.T) {
	own, foreign := newAuthority(t, "own"), newAuthority(t, "foreign")
	tests := []struct {
		name           string
		server, client Files
		want           bool
	}{
		{"both from the authority", issue(t, own, own, "server"), issue(t, own, own, "client"), true},
		{"foreign client", issue(t, own, own, "server"), issue(t, foreign, own, "client"), false},
		{"foreign server", issue(t, foreign, own, "server"), issue(t, own, own, "client"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := serve(t, newSecurer(t, tt.server))
			_, err := exchange(t, newSecurer(t, tt.client), address)
			if got := err == nil; got != tt.want {
				t.Errorf("got error %v, want accepted: %t", err, tt.want)
			}
		})
	}
}

func TestFilesAreReadAgain(t *testing.T) {
	own := newAuthority(t, "own")
	files := issue(t, own, own, "before")
	var warned atomic.Bool
	address := serve(t, newWarnedSecurer(t, files, func(error) { warned.Store(true) }))
	client := newSecurer(t, issue(t, own, own, "client"))
	if got, err := exchange(t, client, address); err != nil || got != "before" {
		t.Fatalf("got server %q and error %v, want before", got, err)
	}

	// A broken file leaves the old certificate in force.
	if err := os.WriteFile(files.Cert, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	await(t, "the broken file was read", func() bool {
		if got, err := exchange(t, client, address); err != nil || got != "before" {
			t.Fatalf("got server %q and error %v, want before", got, err)
		}
		return warned.Load()
	})

	after := issue(t, own, own, "after")
	for from, to := range map[string]string{after.Cert: files.Cert, after.Key: files.Key} {
		if err := os.Rename(from, to); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "the new certificate is in force", func() bool {
		got, err := exchange(t, client, address)
		if err != nil {
			t.Fatal(err)
		}
		return got == "after"
	})
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %s until %s", testTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestNewNamesWhatIsWrong(t *testing.T) {
	own := newAuthority(t, "own")
	files := issue(t, own, own, "server")
	missing, empty := files, files
	missing.Key = files.Key + ".missing"
	empty.Authority = files.Key
	tests := []struct {
		name  string
		files Files
	}{
		{"no key", missing},
		{"no certificate in the authority's file", empty},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := New(tt.files, func(error) {}); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}
