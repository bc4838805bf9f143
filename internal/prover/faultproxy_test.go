package prover

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Kinds of toxics, with the names that toxiproxy gives them. A toxic is a fault
// that toxiproxy injects into connections.
const (
	toxicLatency   toxicKind = "latency"
	toxicLimitData toxicKind = "limit_data"
	toxicTimeout   toxicKind = "timeout"
	toxicBandwidth toxicKind = "bandwidth"
)

type (
	// toxicAttributes are the settings of a toxic, in the units of toxiproxy.
	toxicAttributes map[string]int

	// faultProxy is a toxiproxy in the test process.
	faultProxy struct {
		proxy *toxiproxy.Proxy
		t     *testing.T
	}

	toxicKind string
)

// newFaultProxy starts a proxy in front of upstream, a URL or host:port.
func newFaultProxy(t *testing.T, name, upstream string) *faultProxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, name, "127.0.0.1:0", strings.TrimPrefix(upstream, "http://"))
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Stop)
	return &faultProxy{proxy: proxy, t: t}
}

func (p *faultProxy) url() string {
	return "http://" + p.proxy.Listen
}

// addToxic adds a toxic to a direction, "upstream" or "downstream".
func (p *faultProxy) addToxic(name string, kind toxicKind, stream string, a toxicAttributes) {
	p.t.Helper()
	data, err := json.Marshal(map[string]any{"name": name, "type": kind, "stream": stream, "attributes": a})
	if err != nil {
		p.t.Fatal(err)
	}
	if _, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(string(data))); err != nil {
		p.t.Fatal(err)
	}
}

// setEnabled enables the proxy, or disables it and closes its open connections.
func (p *faultProxy) setEnabled(enabled bool) {
	p.t.Helper()
	config := &toxiproxy.Proxy{Listen: p.proxy.Listen, Upstream: p.proxy.Upstream, Enabled: enabled}
	if err := p.proxy.Update(config); err != nil {
		p.t.Fatal(err)
	}
}
