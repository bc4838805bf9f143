// Package operator makes changes of the configuration: it reads the log,
// appends a record until it reads it back, and waits until the nodes act on it.
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
	// ArrivalsPath is the path of a customer's arrivals, which the
	// customer's name follows.
	ArrivalsPath = "/arrivals/"
	// CountsPath is the path of a node's counts.
	CountsPath = "/counts"
	// StatusPath is the path of a node's status.
	StatusPath = "/status"

	maxAnswerBytes = 16 << 20
	nodeTimeout    = 2 * time.Second
)

type (
	// DialFunc dials the admin address of a node over TLS.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// DryRunSystem is a System that reads through another one and appends
	// nothing.
	DryRunSystem struct {
		System
		// Appended are the records that would have been appended.
		Appended []folder.Record
	}

	// RealSystem is the System of a running fleet.
	RealSystem struct {
		loader Loader
		client *http.Client
		scheme string
	}

	// RecordingSystem is a System that passes everything on to another one
	// and keeps what it was asked for. It is safe for concurrent use.
	RecordingSystem struct {
		// System does the work.
		System System
		// Record gets one line for each call. It is never nil.
		Record func(line string)

		mu sync.Mutex
	}

	// StatusError says that a node answered with an unexpected status.
	StatusError struct {
		// Address is the node's admin address.
		Address string
		// Status is the HTTP status code.
		Status int
	}

	// System is what a change of the configuration acts on.
	System interface {
		// Append adds a record to the log. After an error the record may
		// have been added all the same.
		Append(ctx context.Context, r folder.Record) error
		// Arrivals asks a node for a customer's arrivals.
		Arrivals(ctx context.Context, m folder.Member, customer string) (meter.Arrivals, error)
		// Counts asks a node for the requests that ended there.
		Counts(ctx context.Context, m folder.Member) (meter.Counts, error)
		// Load reads the log to its tail and returns the folded state.
		Load(ctx context.Context) (*ConfigView, error)
		// Status asks a node for its status.
		Status(ctx context.Context, m folder.Member) (flamingotack.Status, error)
	}
)

// NewRealSystem returns the System of the fleet that shares that log. Without
// dial the nodes are asked without TLS.
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

// Append keeps r and adds nothing to the log.
func (d *DryRunSystem) Append(_ context.Context, r folder.Record) error {
	d.Appended = append(d.Appended, r)
	return nil
}

// Load returns the state as it would be after the records kept.
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

// Append adds r to the log.
func (s *RealSystem) Append(ctx context.Context, r folder.Record) (err error) {
	data, err := folder.Encode(r)
	if err != nil {
		return err
	}
	_, err = s.loader.Log.Append(ctx, data)
	return err
}

// Arrivals asks a node at its admin address, for at most 2 s.
func (s *RealSystem) Arrivals(ctx context.Context, m folder.Member, customer string) (a meter.Arrivals, err error) {
	defer func() { err = errors.Wrapf(err, "ask node %s for the arrivals of %s", m.Name, customer) }()
	err = s.get(ctx, m.Admin, ArrivalsPath+customer, &a)
	return a, err
}

// Counts asks a node at its admin address, for at most 2 s.
func (s *RealSystem) Counts(ctx context.Context, m folder.Member) (c meter.Counts, err error) {
	defer func() { err = errors.Wrapf(err, "ask node %s for its counts", m.Name) }()
	err = s.get(ctx, m.Admin, CountsPath, &c)
	return c, err
}

// Load reads the log to its tail.
func (s *RealSystem) Load(ctx context.Context) (*ConfigView, error) {
	return s.loader.Load(ctx)
}

// Status asks a node at its admin address, for at most 2 s.
func (s *RealSystem) Status(ctx context.Context, m folder.Member) (status flamingotack.Status, err error) {
	defer func() { err = errors.Wrapf(err, "ask node %s for its status", m.Name) }()
	err = s.get(ctx, m.Admin, StatusPath, &status)
	return status, err
}

func (s *RealSystem) get(ctx context.Context, address, path string, target any) error {
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
	return json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(target)
}

// Append records the call and passes it on.
func (s *RecordingSystem) Append(ctx context.Context, r folder.Record) error {
	err := s.System.Append(ctx, r)
	s.record("append %s %s against version %d: %s", r.Kind, r.ID, r.Base, outcomeOf(err))
	return err
}

// Arrivals records the call and passes it on.
func (s *RecordingSystem) Arrivals(ctx context.Context, m folder.Member, customer string) (meter.Arrivals, error) {
	a, err := s.System.Arrivals(ctx, m, customer)
	s.record("arrivals of %s on %s: %s", customer, m.Name, outcomeOf(err))
	return a, err
}

// Counts records the call and passes it on.
func (s *RecordingSystem) Counts(ctx context.Context, m folder.Member) (meter.Counts, error) {
	c, err := s.System.Counts(ctx, m)
	s.record("counts of %s: %s", m.Name, outcomeOf(err))
	return c, err
}

// Load records the call and passes it on.
func (s *RecordingSystem) Load(ctx context.Context) (*ConfigView, error) {
	v, err := s.System.Load(ctx)
	if err != nil {
		s.record("load: %v", err)
		return nil, err
	}
	s.record("load: %s", v.State)
	return v, nil
}

// Status records the call and passes it on.
func (s *RecordingSystem) Status(ctx context.Context, m folder.Member) (flamingotack.Status, error) {
	status, err := s.System.Status(ctx, m)
	if err != nil {
		s.record("status of %s: %v", m.Name, err)
		return status, err
	}
	s.record("status of %s: version %d", m.Name, status.Version)
	return status, nil
}

func (s *RecordingSystem) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Record(fmt.Sprintf(format, args...))
}

// Error names the address and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("node at %s answered %d", e.Address, e.Status)
}

func outcomeOf(err error) string {
	if err != nil {
		return err.Error()
	}
	return "ok"
}
