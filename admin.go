package flamingotack

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/receiver"
)

type (
	// Addresses are the host:port addresses that a node listens on.
	Addresses struct {
		Admin  string `json:"admin"`
		Caller string `json:"caller"`
		Egress string `json:"egress"`
		Peer   string `json:"peer"`
	}

	// Status is the state that a node reports to operators.
	Status struct {
		// Member describes the node.
		Member folder.Member `json:"member"`
		// Addresses are those that the node listens on.
		Addresses Addresses `json:"addresses"`
		// LogOffset is the offset of the last record applied from the shared log.
		LogOffset uint64 `json:"offset"`
		// ConfigVersion is the version of the configuration in force: the log offset
		// of its last change.
		ConfigVersion uint64 `json:"version"`
		// ViewOffset is the log offset of the record that created the current
		// membership view.
		ViewOffset uint64 `json:"view"`
		// Ready reports whether the node accepts requests.
		Ready bool `json:"ready"`
		// Fresh reports whether the node has a recent proof that the shared log
		// holds no newer record. Without one it refuses requests.
		Fresh bool `json:"fresh"`
		// Draining reports whether the node is shutting down.
		Draining bool `json:"draining"`
		// RunningRequests is the number of requests on the backend server.
		RunningRequests int `json:"running"`
	}
)

// Status returns the state that the node reports to operators.
func (n *Node) Status() Status {
	s := Status{
		Member: n.self,
		Addresses: Addresses{
			Admin:  n.settings.AdminAddress,
			Caller: n.settings.CallerAddress,
			Egress: n.settings.EgressAddress,
			Peer:   n.settings.PeerAddress,
		},
		Draining:        n.lifecycle.draining.Load(),
		RunningRequests: n.guard.runningCount(),
	}
	index := n.index.Load()
	if index == nil {
		return s
	}
	s.LogOffset = index.State.Offset
	s.ConfigVersion = index.State.ConfigVersion
	s.ViewOffset = index.State.ViewOffset
	s.Fresh = n.isFresh()
	s.Ready = index.State.Manifest != nil && !s.Draining && s.Fresh
	return s
}

func (n *Node) adminHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", n.readyz)
	e.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, n.Status()) })
	e.GET("/metrics", echo.WrapHandler(n.meter.Handler()))
	e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, n.counts()) }, middleware.Gzip())
	e.GET("/arrivals/:customer", func(c echo.Context) error {
		return c.JSON(http.StatusOK, n.meter.Arrivals(c.Param("customer")))
	}, middleware.Gzip())
	return e
}

// counts returns the counts of the requests that ended on this node.
func (n *Node) counts() meter.Counts {
	c := n.meter.Counts()
	c.Node = n.self.Name
	c.Incarnation = n.self.Incarnation
	return c
}

// observe records a request that has ended.
func (n *Node) observe(o receiver.Outcome) {
	sample := meter.Sample{Root: true, Refusal: o.Refusal, Status: o.Status, Elapsed: o.Elapsed}
	if r := o.Request; r != nil {
		sample.Service = r.Service
		sample.Customer = r.Customer
		sample.Priority = r.Priority
		sample.Root = r.Depth == 0
		sample.LatencyObjective = n.latencyObjective(r.Service, r.Customer)
	}
	n.meter.Observe(sample)
}

// latencyObjective returns the longest time that a good request of a customer
// to a service may take; 0 means no limit.
func (n *Node) latencyObjective(service, customer string) time.Duration {
	index := n.index.Load()
	if index == nil || index.Service(service) == nil {
		return 0
	}
	class := ""
	if c := index.Customer(customer); c != nil {
		class = c.Class
	}
	o, _ := index.Service(service).ObjectiveForClass(class)
	return o.Latency.Std()
}

func (n *Node) readyz(c echo.Context) error {
	if !n.Status().Ready {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ok\n")
}
