// Package folder folds the records of the log, in offset order, into the
// state that all nodes agree on. It has no input, output or clock.
package folder

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack/internal/parser"
)

const (
	// Format is the record format that this code writes and reads.
	RecordFormat = 1
)

// The kinds of records.
const (
	KindDomain   Kind = "domain"
	KindEvict    Kind = "evict"
	KindJoin     Kind = "join"
	KindLeave    Kind = "leave"
	KindManifest Kind = "manifest"
	KindServer   Kind = "server"
	KindSnapshot Kind = "snapshot"
)

type (
	// FormatError says that a record has a format that this code can't read.
	UnsupportedFormatError struct {
		// Format is what the record says.
		Format int
	}

	// Kind tells what a record changes.
	Kind string

	// Member is one incarnation of a node.
	Member struct {
		// Name is the node's name.
		Name string `json:"name"`
		// Incarnation is new each time the node's process starts.
		Incarnation string `json:"incarnation"`
		// Service is the service of the node's backend server.
		Service string `json:"service"`
		// Domain is the failure domain.
		Domain string `json:"domain"`
		// Region is the region of the failure domain.
		Region string `json:"region"`
		// Peer is the address for other nodes.
		PeerAddress string `json:"peer"`
		// Admin is the address for operators.
		AdminAddress string `json:"admin"`
		// Caller is the address for callers.
		CallerAddress string `json:"caller"`
		// Since is the offset of the join record. The writer leaves it 0.
		JoinOffset uint64 `json:"since,omitempty"`
	}

	// Outage takes a failure domain or a backend server out of service or
	// brings it back.
	OutOfServiceChange struct {
		// Name is the failure domain, or the name of the backend server's
		// node.
		Name string `json:"name"`
		// Out is false to bring it back.
		OutOfService bool `json:"out"`
	}

	// Record is one change. Exactly the field that Kind names is set.
	Record struct {
		// Format is Format; the fold skips a record with another one.
		Format int `json:"format"`
		// Kind tells what the record changes.
		Kind Kind `json:"kind"`
		// ID is unique for a change and kept over its repeated appends.
		ID string `json:"id"`
		// Base is the version that a manifest, domain or server change was
		// made against.
		BaseVersion uint64 `json:"base,omitempty"`
		// Author is who made the change, for other operators to read. A
		// node's own records leave it empty.
		Author string `json:"author,omitempty"`
		// Manifest is the new manifest.
		Manifest *parser.Manifest `json:"manifest,omitempty"`
		// Outage is the failure domain or backend server concerned.
		OutOfServiceChange *OutOfServiceChange `json:"outage,omitempty"`
		// Member joins, leaves or is evicted. A leave or eviction needs Name
		// and Incarnation only.
		Member *Member `json:"member,omitempty"`
		// Snapshot is a whole state. Whoever starts from it folds from the
		// offset after that of the state, not after that of the record.
		Snapshot *State `json:"snapshot,omitempty"`
		// Floor stands in a snapshot: no node acts on a view older than the
		// one of this offset any more.
		ViewFloor uint64 `json:"floor,omitempty"`
	}
)

// Decode reads a record. The error is a *FormatError for another format.
func Decode(data []byte) (r Record, err error) {
	defer func() { err = errors.Wrap(err, "decode record") }()
	var envelope struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &envelope); err != nil {
		return Record{}, err
	}
	if envelope.Format != RecordFormat {
		return Record{}, &UnsupportedFormatError{Format: envelope.Format}
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, err
	}
	return r, r.check()
}

// Encode returns the form in which the log keeps r.
func Encode(r Record) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode record") }()
	if err := r.check(); err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// NewRecord returns a record of that kind with a new ID.
func NewRecord(kind Kind) Record {
	return Record{Format: RecordFormat, Kind: kind, ID: uuid.NewString()}
}

// NewSnapshot returns a record that keeps a state.
func NewSnapshot(s *State, floor uint64) Record {
	r := NewRecord(KindSnapshot)
	r.Snapshot = s
	r.ViewFloor = floor
	return r
}

// Error names the format.
func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("record format %d is not %d", e.Format, RecordFormat)
}

// Bridges reports whether r is a snapshot from which a log can be folded that
// keeps its records from oldest on: none that the snapshot lacks is lost.
func (r Record) ConnectsToLog(oldest uint64) bool {
	return r.Kind == KindSnapshot && r.Snapshot.Offset+1 >= oldest
}

// Config reports whether r changes the configuration, and not the membership.
func (r Record) IsConfigChange() bool {
	return r.Kind == KindManifest || r.Kind == KindDomain || r.Kind == KindServer
}

func (r Record) check() error {
	if r.ID == "" {
		return errors.New("record has no id")
	}
	set := map[Kind]bool{
		KindDomain:   r.OutOfServiceChange != nil && r.OutOfServiceChange.Name != "",
		KindEvict:    r.Member != nil && r.Member.Name != "" && r.Member.Incarnation != "",
		KindJoin:     r.Member != nil && r.Member.Name != "" && r.Member.Incarnation != "" && r.Member.PeerAddress != "",
		KindLeave:    r.Member != nil && r.Member.Name != "" && r.Member.Incarnation != "",
		KindManifest: r.Manifest != nil,
		KindServer:   r.OutOfServiceChange != nil && r.OutOfServiceChange.Name != "",
		KindSnapshot: r.Snapshot != nil,
	}
	whole, known := set[r.Kind]
	if !known {
		return fmt.Errorf("record kind %q is unknown", r.Kind)
	}
	if !whole {
		return fmt.Errorf("record of kind %q lacks its content", r.Kind)
	}
	return nil
}
