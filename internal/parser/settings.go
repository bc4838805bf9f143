package parser

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"time"
)

const (
	defaultBodyBytes = 1 << 20
	defaultFreshness = Duration(8 * time.Second)
	defaultGrace     = Duration(30 * time.Second)
	defaultLevel     = "info"
	defaultLinger    = Duration(time.Second)
	maxBodyBytes     = 64 << 20
	maxFreshness     = Duration(11 * time.Second)
	minFreshness     = Duration(time.Second)
	maxGrace         = Duration(10 * time.Minute)
	maxLinger        = Duration(time.Minute)
)

var levels = []string{"debug", "info", "warn", "error"}

type (
	// Settings configure one node. Addresses are IP numbers with a port.
	Settings struct {
		// Name is the unique name of the node and its backend server.
		Name string `json:"name"`
		// Service is the service that the backend server offers.
		Service string `json:"service"`
		// Domain is the failure domain.
		Domain string `json:"domain"`
		// Region is the region of the failure domain. Default: the failure
		// domain itself.
		Region string `json:"region,omitempty"`
		// Caller is the address for requests from callers.
		CallerAddress string `json:"caller"`
		// Egress is the loopback address for calls of the backend server.
		EgressAddress string `json:"egress"`
		// Peer is the address for other nodes. Calls to other nodes leave
		// from its IP number.
		PeerAddress string `json:"peer"`
		// Announce is the address at which other nodes reach Peer. Default:
		// Peer itself.
		AnnouncedPeerAddress string `json:"announce,omitempty"`
		// Admin is the address for metrics, health and operators.
		AdminAddress string `json:"admin"`
		// Cert is the file with the node's certificate, PEM. With it callers
		// and nodes are reached over TLS; the file is read again when it
		// changes. Default: none.
		CertFile string `json:"cert,omitempty"`
		// Key is the file with the private key of Cert, PEM.
		KeyFile string `json:"key,omitempty"`
		// Authority is the file with the certificates that other nodes' must
		// come from, PEM. It signs for nodes only.
		CAFile string `json:"authority,omitempty"`
		// Operators is the file with the certificates that operators' must
		// come from, PEM. Without it Admin is a loopback address, without
		// TLS.
		OperatorCAFile string `json:"operators,omitempty"`
		// Plain lets addresses that are not loopback addresses do without
		// TLS. Default: false.
		AllowPlaintext bool `json:"plain,omitempty"`
		// Backend is the URL of the backend server beside the node.
		BackendURL string `json:"backend"`
		// Log is the URL of the platform's log service.
		LogURL string `json:"log"`
		// Peers are addresses of nodes to take the state from while the log
		// is down. Default: none.
		FallbackPeers []string `json:"peers,omitempty"`
		// Freshness is how long the node trusts its state without proof that
		// the log holds nothing newer, 1s to 11s. Default: 8s.
		MaxStateAge Duration `json:"freshness,omitempty"`
		// Grace is how long a planned stop waits for running requests, at
		// most 10m. Default: 30s.
		GracePeriod Duration `json:"grace,omitempty"`
		// Linger is how long a node that stops still takes requests of callers
		// after it has said on /readyz that it stops, at most 1m. Default:
		// 1s.
		DrainDelay Duration `json:"linger,omitempty"`
		// Body is the largest request body in bytes, at most 67108864.
		// Default: 1048576.
		MaxBodyBytes int64 `json:"body,omitempty"`
		// Level is the least important level that is logged: debug, info,
		// warn or error. Default: info.
		LogLevel string `json:"level,omitempty"`
	}
)

// ParseSettings reads the settings of a node, lets override change them, fills
// in defaults and checks them whole. The error joins one FieldError for each
// fault; file only names the source. override may be nil.
func ParseSettings(file string, data []byte, override func(*Settings)) (n *Settings, err error) {
	n = &Settings{}
	s, err := decode(file, data, n)
	if err != nil {
		return nil, err
	}
	if override != nil {
		override(n)
	}
	n.SetDefaults()
	if problems := n.problems(); len(problems) > 0 {
		return nil, s.errors(problems)
	}
	return n, nil
}

// Fill puts the defaults in the fields that are not set.
func (n *Settings) SetDefaults() {
	if n.Region == "" {
		n.Region = n.Domain
	}
	if n.MaxStateAge == 0 {
		n.MaxStateAge = defaultFreshness
	}
	if n.GracePeriod == 0 {
		n.GracePeriod = defaultGrace
	}
	if n.DrainDelay == 0 {
		n.DrainDelay = defaultLinger
	}
	if n.MaxBodyBytes == 0 {
		n.MaxBodyBytes = defaultBodyBytes
	}
	if n.LogLevel == "" {
		n.LogLevel = defaultLevel
	}
}

func (n *Settings) problems() (found []problem) {
	add := func(field, format string, args ...any) {
		found = append(found, problem{field, fmt.Sprintf(format, args...)})
	}
	for _, f := range []struct{ field, value string }{
		{"/name", n.Name}, {"/service", n.Service}, {"/domain", n.Domain}, {"/region", n.Region},
	} {
		if !namePattern.MatchString(f.value) {
			add(f.field, "%s", nameProblem(f.value))
		}
	}
	found = append(found, n.addressProblems()...)
	found = append(found, n.securityProblems()...)
	for _, f := range []struct{ field, value string }{{"/backend", n.BackendURL}, {"/log", n.LogURL}} {
		if text := urlProblem(f.value); text != "" {
			add(f.field, "%s", text)
		}
	}
	if n.MaxStateAge < minFreshness || n.MaxStateAge > maxFreshness {
		add("/freshness", "%s is not between %s and %s", n.MaxStateAge, minFreshness, maxFreshness)
	}
	if n.GracePeriod < 0 || n.GracePeriod > maxGrace {
		add("/grace", "%s is not between 0 and %s", n.GracePeriod, maxGrace)
	}
	if n.DrainDelay < 0 || n.DrainDelay > maxLinger {
		add("/linger", "%s is not between 0 and %s", n.DrainDelay, maxLinger)
	}
	if n.MaxBodyBytes < 0 || n.MaxBodyBytes > maxBodyBytes {
		add("/body", "%d is not between 0 and %d", n.MaxBodyBytes, maxBodyBytes)
	}
	if !slices.Contains(levels, n.LogLevel) {
		add("/level", "%q is none of debug, info, warn, error", n.LogLevel)
	}
	return found
}

func (n *Settings) addressProblems() (found []problem) {
	for _, f := range []struct{ field, value string }{
		{"/caller", n.CallerAddress}, {"/egress", n.EgressAddress}, {"/peer", n.PeerAddress}, {"/admin", n.AdminAddress},
	} {
		if text := addressProblem(f.value); text != "" {
			found = append(found, problem{f.field, text})
		}
	}
	if n.AnnouncedPeerAddress != "" {
		if text := addressProblem(n.AnnouncedPeerAddress); text != "" {
			found = append(found, problem{"/announce", text})
		}
	}
	for i, peer := range n.FallbackPeers {
		if text := addressProblem(peer); text != "" {
			found = append(found, problem{fmt.Sprintf("/peers/%d", i), text})
		}
	}
	if egress, err := netip.ParseAddrPort(n.EgressAddress); err == nil && !egress.Addr().IsLoopback() {
		found = append(found, problem{"/egress", fmt.Sprintf("%s is not a loopback address", egress)})
	}
	return found
}

func addressProblem(text string) string {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Sprintf("%q is not an IP number with a port", text)
	}
	return ""
}

func urlProblem(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return fmt.Sprintf("%q is not an http or https URL", text)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return fmt.Sprintf("%q has no IP number with a port", text)
	}
	return ""
}
