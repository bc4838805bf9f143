// Package operator changes the configuration: it reads the log, appends a
// record and reads it back, and waits until the change is in force on the nodes.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/meter"
)

const (
	// ArrivalsPath is the prefix of the path of a customer's arrivals. The
	// customer's name follows it.
	ArrivalsPath = "/arrivals/"
	// CountsPath is the path of a node's request counts.
	CountsPath = "/counts"
	// StatusPath is the path of a node's status.
	StatusPath = "/status"

	maxResponseBytes = 16 << 20
	nodeTimeout      = 2 * time.Second
)

type (
	// DialFunc opens a TLS connection to the admin address of a node.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// DryRunSystem is a System that reads from another one but appends
	// nothing.
	DryRunSystem struct {
		System
		// Appended are the records that would have been appended.
		Appended []folder.Record
	}

	// RealSystem is the System of a running deployment.
	RealSystem struct {
		loader Loader
		client *http.Client
		scheme string
	}

	// RecordingSystem is a System that forwards calls to another one and
	// records them. It is safe for concurrent use.
	RecordingSystem struct {
		// System receives the calls.
		System System
		// Record is called with one line for each call. It must not be nil.
		Record func(line string)

		mu sync.Mutex
	}

	// StatusError reports a node's response with an unexpected status.
	StatusError struct {
		// Address is the node's admin address.
		Address string
		// Status is the HTTP status code.
		Status int
	}

	// System provides access to the log and the nodes of a deployment.
	System interface {
		// Append appends a record to the log. After an error the record may
		// still have been appended.
		Append(ctx context.Context, r folder.Record) error
		// Arrivals queries a customer's arrivals on a node.
		Arrivals(ctx context.Context, m folder.Member, customer string) (meter.Arrivals, error)
		// Counts queries the counts of the requests that ended on a node.
		Counts(ctx context.Context, m folder.Member) (meter.Counts, error)
		// Load reads the log to its tail and returns the folded state.
		Load(ctx context.Context) (*ConfigView, error)
		// Status queries the status of a node.
		Status(ctx context.Context, m folder.Member) (flamingotack.Status, error)
	}
)

// NewRealSystem returns the System of the deployment that uses that log. When
// dial is nil, nodes are queried without TLS.
func NewRealSystem(log journaler.Log, dial DialFunc) *RealSystem {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	s := &RealSystem{loader: Loader{Log: log}, client: &http.Client{Transport: transport}, scheme: "http"}
	if dial != nil {
		transport.DialTLSContext = dial
		s.scheme = "https"
	}
	return s
}

// Append keeps r in Appended and appends nothing to the log.
func (d *DryRunSystem) Append(_ context.Context, r folder.Record) error {
	d.Appended = append(d.Appended, r)
	return nil
}

// Load returns the state as it would be after the records in Appended.
func (d *DryRunSystem) Load(ctx context.Context) (v *ConfigView, err error) {
	v, err = d.System.Load(ctx)
	if err != nil {
		return nil, err
	}
	next := *v
	for _, r := range d.Appended {
		next.State, _ = next.State.Fold(next.State.Offset+1, r)
	}
	return &next, nil
}

// Append appends r to the log.
func (s *RealSystem) Append(ctx context.Context, r folder.Record) (err error) {
	data, err := folder.Encode(r)
	if err != nil {
		return err
	}
	_, err = s.loader.Log.Append(ctx, data)
	return err
}

// Arrivals queries a node at its admin address, for at most 2 s.
func (s *RealSystem) Arrivals(ctx context.Context, m folder.Member, customer string) (a meter.Arrivals, err error) {
	defer func() { err = errors.Wrapf(err, "query node %s for the arrivals of customer %s", m.Name, customer) }()
	err = s.getJSON(ctx, m.AdminAddress, ArrivalsPath+customer, &a)
	return a, err
}

// Counts queries a node at its admin address, for at most 2 s.
func (s *RealSystem) Counts(ctx context.Context, m folder.Member) (c meter.Counts, err error) {
	defer func() { err = errors.Wrapf(err, "query node %s for its counts", m.Name) }()
	err = s.getJSON(ctx, m.AdminAddress, CountsPath, &c)
	return c, err
}

// Load reads the log to its tail.
func (s *RealSystem) Load(ctx context.Context) (*ConfigView, error) {
	return s.loader.Load(ctx)
}

// Status queries a node at its admin address, for at most 2 s.
func (s *RealSystem) Status(ctx context.Context, m folder.Member) (status flamingotack.Status, err error) {
	defer func() { err = errors.Wrapf(err, "query node %s for its status", m.Name) }()
	err = s.getJSON(ctx, m.AdminAddress, StatusPath, &status)
	return status, err
}

// getJSON sends a GET request and decodes the JSON response into target. The
// error is a *StatusError when the status is not 200.
func (s *RealSystem) getJSON(ctx context.Context, address, path string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.scheme+"://"+address+path, http.NoBody)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &StatusError{Address: address, Status: response.StatusCode}
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(target)
}

// Append forwards and records the call.
func (s *RecordingSystem) Append(ctx context.Context, r folder.Record) error {
	err := s.System.Append(ctx, r)
	s.record("append %s %s against version %d: %s", r.Kind, r.ID, r.BaseVersion, outcomeOf(err))
	return err
}

// Arrivals forwards and records the call.
func (s *RecordingSystem) Arrivals(ctx context.Context, m folder.Member, customer string) (meter.Arrivals, error) {
	a, err := s.System.Arrivals(ctx, m, customer)
	s.record("arrivals of %s on %s: %s", customer, m.Name, outcomeOf(err))
	return a, err
}

// Counts forwards and records the call.
func (s *RecordingSystem) Counts(ctx context.Context, m folder.Member) (meter.Counts, error) {
	c, err := s.System.Counts(ctx, m)
	s.record("counts of %s: %s", m.Name, outcomeOf(err))
	return c, err
}

// Load forwards and records the call.
func (s *RecordingSystem) Load(ctx context.Context) (*ConfigView, error) {
	v, err := s.System.Load(ctx)
	if err != nil {
		s.record("load: %v", err)
		return nil, err
	}
	s.record("load: %s", v.State)
	return v, nil
}

// Status forwards and records the call.
func (s *RecordingSystem) Status(ctx context.Context, m folder.Member) (flamingotack.Status, error) {
	status, err := s.System.Status(ctx, m)
	if err != nil {
		s.record("status of %s: %v", m.Name, err)
		return status, err
	}
	s.record("status of %s: version %d", m.Name, status.ConfigVersion)
	return status, nil
}

func (s *RecordingSystem) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Record(fmt.Sprintf(format, args...))
}

// Error names the address and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("node at %s responded with status %d", e.Address, e.Status)
}

func outcomeOf(err error) string {
	if err != nil {
		return err.Error()
	}
	return "ok"
}
