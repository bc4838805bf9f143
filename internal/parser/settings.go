package parser

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"time"
)

const (
	defaultMaxBodyBytes = 1 << 20
	defaultMaxStateAge  = Duration(8 * time.Second)
	defaultGracePeriod  = Duration(30 * time.Second)
	defaultLogLevel     = "info"
	defaultDrainDelay   = Duration(time.Second)
	maxMaxBodyBytes     = 64 << 20
	maxMaxStateAge      = Duration(11 * time.Second)
	minMaxStateAge      = Duration(time.Second)
	maxGracePeriod      = Duration(10 * time.Minute)
	maxDrainDelay       = Duration(time.Minute)
)

var logLevels = []string{"debug", "info", "warn", "error"}

type (
	// Settings configure one node. Addresses are IP addresses with a port.
	Settings struct {
		// Name is the unique name of the node and its backend server.
		Name string `json:"name"`
		// Service is the service that the backend server offers.
		Service string `json:"service"`
		// Domain is the node's failure domain.
		Domain string `json:"domain"`
		// Region is the region of the failure domain. Default: the failure
		// domain itself.
		Region string `json:"region,omitempty"`
		// CallerAddress is the listen address for requests from callers.
		CallerAddress string `json:"caller"`
		// EgressAddress is the loopback listen address for calls that the
		// backend server makes to other services.
		EgressAddress string `json:"egress"`
		// PeerAddress is the listen address for other nodes. Its IP address
		// is also the source address of calls to other nodes.
		PeerAddress string `json:"peer"`
		// AnnouncedPeerAddress is the address at which other nodes reach
		// PeerAddress. Default: PeerAddress.
		AnnouncedPeerAddress string `json:"announce,omitempty"`
		// AdminAddress is the listen address for metrics, health checks and
		// operators.
		AdminAddress string `json:"admin"`
		// CertFile is the PEM file with the node's certificate. When it is
		// set, connections of callers and nodes use TLS. The node reloads
		// the file when it changes. Default: none.
		CertFile string `json:"cert,omitempty"`
		// KeyFile is the PEM file with the private key of CertFile.
		KeyFile string `json:"key,omitempty"`
		// CAFile is the PEM file with the certificates of the authorities
		// that issue the nodes' certificates. They must sign for nodes only.
		CAFile string `json:"authority,omitempty"`
		// OperatorCAFile is the PEM file with the certificates of the
		// authorities that issue the operators' certificates. Without it
		// AdminAddress must be a loopback address, which does not use TLS.
		OperatorCAFile string `json:"operators,omitempty"`
		// AllowPlaintext allows connections without TLS on addresses that
		// are not loopback addresses. Default: false.
		AllowPlaintext bool `json:"plain,omitempty"`
		// BackendURL is the URL of the node's local backend server.
		BackendURL string `json:"backend"`
		// LogURL is the URL of the platform's log service.
		LogURL string `json:"log"`
		// FallbackPeers are addresses of nodes from which the node fetches
		// the state while the log is down. Default: none.
		FallbackPeers []string `json:"peers,omitempty"`
		// MaxStateAge is how long the node trusts its state without proof
		// that the log holds nothing newer, 1s to 11s. Default: 8s.
		MaxStateAge Duration `json:"freshness,omitempty"`
		// GracePeriod is how long a planned stop waits for running requests,
		// at most 10m. Default: 30s.
		GracePeriod Duration `json:"grace,omitempty"`
		// DrainDelay is how long a stopping node still accepts requests from
		// callers after /readyz reports that it stops, at most 1m. Default:
		// 1s.
		DrainDelay Duration `json:"linger,omitempty"`
		// MaxBodyBytes is the maximum size of a request body, at most
		// 67108864 bytes. Default: 1048576 bytes.
		MaxBodyBytes int64 `json:"body,omitempty"`
		// LogLevel is the lowest level that is logged: debug, info, warn or
		// error. Default: info.
		LogLevel string `json:"level,omitempty"`
	}
)

// ParseSettings decodes the settings of a node, applies override, sets defaults
// and validates all fields. file names the source in errors. override may be
// nil. The error joins one FieldError for each problem.
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

// SetDefaults sets the fields that are not set to their defaults.
func (n *Settings) SetDefaults() {
	if n.Region == "" {
		n.Region = n.Domain
	}
	if n.MaxStateAge == 0 {
		n.MaxStateAge = defaultMaxStateAge
	}
	if n.GracePeriod == 0 {
		n.GracePeriod = defaultGracePeriod
	}
	if n.DrainDelay == 0 {
		n.DrainDelay = defaultDrainDelay
	}
	if n.MaxBodyBytes == 0 {
		n.MaxBodyBytes = defaultMaxBodyBytes
	}
	if n.LogLevel == "" {
		n.LogLevel = defaultLogLevel
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
			add(f.field, "%s", invalidNameMessage(f.value))
		}
	}
	found = append(found, n.addressProblems()...)
	found = append(found, n.securityProblems()...)
	for _, f := range []struct{ field, value string }{{"/backend", n.BackendURL}, {"/log", n.LogURL}} {
		if text := urlProblem(f.value); text != "" {
			add(f.field, "%s", text)
		}
	}
	if n.MaxStateAge < minMaxStateAge || n.MaxStateAge > maxMaxStateAge {
		add("/freshness", "%s is not between %s and %s", n.MaxStateAge, minMaxStateAge, maxMaxStateAge)
	}
	if n.GracePeriod < 0 || n.GracePeriod > maxGracePeriod {
		add("/grace", "%s is not between 0 and %s", n.GracePeriod, maxGracePeriod)
	}
	if n.DrainDelay < 0 || n.DrainDelay > maxDrainDelay {
		add("/linger", "%s is not between 0 and %s", n.DrainDelay, maxDrainDelay)
	}
	if n.MaxBodyBytes < 0 || n.MaxBodyBytes > maxMaxBodyBytes {
		add("/body", "%d is not between 0 and %d", n.MaxBodyBytes, maxMaxBodyBytes)
	}
	if !slices.Contains(logLevels, n.LogLevel) {
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

// addressProblem says why text is not a valid address. It returns "" for a
// valid one.
func addressProblem(text string) string {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Sprintf("%q is not an IP address with a port", text)
	}
	return ""
}

// urlProblem says why text is not a valid URL. It returns "" for a valid one.
func urlProblem(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return fmt.Sprintf("%q is not an http or https URL", text)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return fmt.Sprintf("the host of %q is not an IP address with a port", text)
	}
	return ""
}
