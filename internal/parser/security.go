package parser

import (
	"fmt"
	"net/netip"
)

// UsesTLS reports whether connections of callers and nodes use TLS.
func (n *Settings) UsesTLS() bool {
	return n.CertFile != ""
}

// securityProblems returns the problems of the TLS settings. Unencrypted traffic
// between instances has to be allowed explicitly.
func (n *Settings) securityProblems() (found []problem) {
	if !n.UsesTLS() {
		return n.plaintextProblems()
	}
	if n.AllowPlaintext {
		found = append(found, problem{"/plain", "must not be true when a certificate is set"})
	}
	for _, f := range []struct{ field, value string }{{"/key", n.KeyFile}, {"/authority", n.CAFile}} {
		if f.value == "" {
			found = append(found, problem{f.field, "a file is needed beside a certificate"})
		}
	}
	if n.OperatorCAFile == "" && !isLoopback(n.AdminAddress) {
		text := fmt.Sprintf("a file is needed, because the admin address %s is not a loopback address", n.AdminAddress)
		found = append(found, problem{"/operators", text})
	}
	return found
}

// plaintextProblems returns the problems of settings without a certificate.
func (n *Settings) plaintextProblems() (found []problem) {
	for _, f := range []struct{ field, value string }{
		{"/key", n.KeyFile}, {"/authority", n.CAFile}, {"/operators", n.OperatorCAFile},
	} {
		if f.value != "" {
			found = append(found, problem{f.field, "has no effect without a certificate"})
		}
	}
	if n.AllowPlaintext {
		return found
	}
	for _, f := range []struct{ field, value string }{
		{"/caller", n.CallerAddress}, {"/peer", n.PeerAddress}, {"/admin", n.AdminAddress},
	} {
		if !isLoopback(f.value) {
			text := fmt.Sprintf("%s is not a loopback address: a certificate is needed, or \"plain\": true", f.value)
			found = append(found, problem{f.field, text})
		}
	}
	return found
}

// isLoopback reports whether the address is a loopback address. It is true for
// an invalid address, which addressProblem reports.
func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err != nil || a.Addr().IsLoopback()
}
