package parser

import (
	"fmt"
	"net/netip"
)

// Secure reports whether callers and nodes are reached over TLS.
func (n *Settings) UsesTLS() bool {
	return n.CertFile != ""
}

// securityProblems makes unencrypted traffic between instances an explicit
// choice.
func (n *Settings) securityProblems() (found []problem) {
	if !n.UsesTLS() {
		return n.plainProblems()
	}
	if n.AllowPlaintext {
		found = append(found, problem{"/plain", "it can't be true beside a certificate"})
	}
	for _, f := range []struct{ field, value string }{{"/key", n.KeyFile}, {"/authority", n.CAFile}} {
		if f.value == "" {
			found = append(found, problem{f.field, "a file is needed beside a certificate"})
		}
	}
	if n.OperatorCAFile == "" && !loopback(n.AdminAddress) {
		text := fmt.Sprintf("a file is needed, because the admin address %s is not a loopback address", n.AdminAddress)
		found = append(found, problem{"/operators", text})
	}
	return found
}

func (n *Settings) plainProblems() (found []problem) {
	for _, f := range []struct{ field, value string }{
		{"/key", n.KeyFile}, {"/authority", n.CAFile}, {"/operators", n.OperatorCAFile},
	} {
		if f.value != "" {
			found = append(found, problem{f.field, "it is of no use without a certificate"})
		}
	}
	if n.AllowPlaintext {
		return found
	}
	for _, f := range []struct{ field, value string }{
		{"/caller", n.CallerAddress}, {"/peer", n.PeerAddress}, {"/admin", n.AdminAddress},
	} {
		if !loopback(f.value) {
			text := fmt.Sprintf("%s is not a loopback address: a certificate is needed, or \"plain\": true", f.value)
			found = append(found, problem{f.field, text})
		}
	}
	return found
}

// loopback reports whether the address is on this instance. What is no address
// has its own problem.
func loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err != nil || a.Addr().IsLoopback()
}
