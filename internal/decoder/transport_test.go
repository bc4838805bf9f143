package decoder

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// TestTransport checks that whole responses pass and that bytes which are none do not, with and
// without TLS, on new and on kept connections, and for a HEAD, whose response only announces
// a body.
func TestTransport(t *testing.T) {
	tests := []struct {
		name, method, response string
		want                   bool
	}{
		{"whole", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nboat", true},
		{"folded line", http.MethodGet, "HTTP/1.1 200 OK\r\nOdd: 1\r\n 2\r\nContent-Length: 4\r\n\r\nboat", false},
		{"line feed alone", http.MethodGet, "HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\nboat", false},
		{"204 with a length", http.MethodGet, "HTTP/1.1 204 Odd\r\nContent-Length: 4\r\n\r\nboat", false},
		{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true},
	}
	for _, tt := range tests {
		for _, secure := range []bool{false, true} {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/odd" {
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, tt.response)
			}))
			base := &http.Transport{}
			if secure {
				server.StartTLS()
				base.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
			} else {
				server.Start()
			}
			transport := NewTransport(base, (&net.Dialer{}).DialContext)
			for _, path := range []string{"/odd", "/", "/odd"} {
				request, err := http.NewRequestWithContext(t.Context(), tt.method, server.URL+path, http.NoBody)
				if err != nil {
					t.Fatal(err)
				}
				response, err := transport.RoundTrip(request)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
				var invalid *InvalidResponseError
				if want := tt.want || path == "/"; (err == nil) != want || !want && !errors.As(err, &invalid) {
					t.Errorf("%s, TLS %t, %s: got error %v, want a response: %t", tt.name, secure, path, err, want)
				}
			}
			transport.CloseIdleConnections()
			server.Close()
		}
	}
}

// TestTransportReset guards against an answer without a length that looks whole although the
// server reset the connection while the request was still being written, with and without TLS.
func TestTransportReset(t *testing.T) {
	for _, secure := range []bool{false, true} {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nboat")
			time.Sleep(time.Millisecond)
			if tlsConn, ok := c.(*tls.Conn); ok {
				c = tlsConn.NetConn()
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}))
		base := &http.Transport{}
		if secure {
			server.StartTLS()
			base.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
		} else {
			server.Start()
		}
		transport := NewTransport(base, (&net.Dialer{}).DialContext)
		for range 20 {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, bytes.NewReader(make([]byte, 8<<20)))
			if err != nil {
				t.Fatal(err)
			}
			response, err := transport.RoundTrip(request)
			if err != nil {
				continue
			}
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err == nil {
				t.Errorf("TLS %t: got %q without an error, want one", secure, body)
			}
		}
		server.Close()
	}
}

// TestTransportSharesConnections guards against whole responses that are refused because another
// request already uses the connection: net/http hands it on before a response without a body is
// returned.
func TestTransportSharesConnections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	transport := NewTransport(&http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 2}, (&net.Dialer{}).DialContext)
	defer transport.CloseIdleConnections()
	var sending sync.WaitGroup
	for range 16 {
		sending.Go(func() {
			for range 200 {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
				if err != nil {
					t.Error(err)
					return
				}
				response, err := transport.RoundTrip(request)
				if err != nil {
					t.Errorf("got error %v, want a response", err)
					return
				}
				response.Body.Close()
			}
		})
	}
	sending.Wait()
}
