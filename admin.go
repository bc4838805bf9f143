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
	// Addresses are those that a node listens on.
	Addresses struct {
		Admin  string `json:"admin"`
		Caller string `json:"caller"`
		Egress string `json:"egress"`
		Peer   string `json:"peer"`
	}

	// Status is what a node tells operators.
	Status struct {
		// Member is the node.
		Member folder.Member `json:"member"`
		// Addresses are those that the node listens on.
		Addresses Addresses `json:"addresses"`
		// Offset is that of the last folded record.
		Offset uint64 `json:"offset"`
		// Version is that of the configuration in force.
		Version uint64 `json:"version"`
		// View is that of the membership in force.
		View uint64 `json:"view"`
		// Ready tells that the node takes requests.
		Ready bool `json:"ready"`
		// Fresh tells that the node has lately known that the log holds
		// nothing newer. Without it the node refuses requests.
		Fresh bool `json:"fresh"`
		// Draining tells that the node stops.
		Draining bool `json:"draining"`
		// Running is the number of requests on the backend server.
		Running int `json:"running"`
	}
)

// Status returns what the node tells operators.
func (n *Node) Status() Status {
	s := Status{
		Member: n.self,
		Addresses: Addresses{
			Admin:  n.settings.AdminAddress,
			Caller: n.settings.CallerAddress,
			Egress: n.settings.EgressAddress,
			Peer:   n.settings.PeerAddress,
		},
		Draining: n.lifecycle.draining.Load(),
		Running:  n.guard.count(),
	}
	x := n.index.Load()
	if x == nil {
		return s
	}
	s.Offset = x.State.Offset
	s.Version = x.State.Version
	s.View = x.State.View
	s.Fresh = n.fresh()
	s.Ready = x.State.Manifest != nil && !s.Draining && s.Fresh
	return s
}

func (n *Node) admin() http.Handler {
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

// counts returns the requests that ended here.
func (n *Node) counts() meter.Counts {
	c := n.meter.Counts()
	c.Node = n.self.Name
	c.Incarnation = n.self.Incarnation
	return c
}

// observe counts a request that has ended.
func (n *Node) observe(o receiver.Outcome) {
	sample := meter.Sample{Root: true, Refusal: o.Refusal, Status: o.Status, Elapsed: o.Elapsed}
	if r := o.Request; r != nil {
		sample.Service = r.Service
		sample.Customer = r.Customer
		sample.Priority = r.Priority
		sample.Root = r.Depth == 0
		sample.LatencyObjective = n.latency(r.Service, r.Customer)
	}
	n.meter.Observe(sample)
}

// latency returns how long a customer's good request of a service may take; 0
// for no limit.
func (n *Node) latency(service, customer string) time.Duration {
	x := n.index.Load()
	if x == nil || x.Service(service) == nil {
		return 0
	}
	class := ""
	if c := x.Customer(customer); c != nil {
		class = c.Class
	}
	o, _ := x.Service(service).ObjectiveForClass(class)
	return o.Latency.Std()
}

func (n *Node) readyz(c echo.Context) error {
	if !n.Status().Ready {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ok\n")
}
