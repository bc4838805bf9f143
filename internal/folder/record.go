// Package folder folds the records of the log, in offset order, into the state on
// which all nodes agree. It does no I/O and uses no clock.
package folder

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack/internal/parser"
)

const (
	// RecordFormat is the record format that this package writes and reads.
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
	// UnsupportedFormatError reports a record with a format other than
	// RecordFormat.
	UnsupportedFormatError struct {
		// Format is the format of the record.
		Format int
	}

	// Kind is the kind of a record: what it changes.
	Kind string

	// Member is one incarnation of a node.
	Member struct {
		// Name is the node's name.
		Name string `json:"name"`
		// Incarnation is the ID of one run of the node's process.
		Incarnation string `json:"incarnation"`
		// Service is the service of the node's backend server.
		Service string `json:"service"`
		// Domain is the node's failure domain.
		Domain string `json:"domain"`
		// Region is the region of the failure domain.
		Region string `json:"region"`
		// PeerAddress is the address for other nodes.
		PeerAddress string `json:"peer"`
		// AdminAddress is the address for operators.
		AdminAddress string `json:"admin"`
		// CallerAddress is the address for callers.
		CallerAddress string `json:"caller"`
		// JoinOffset is the offset of the join record. Fold sets it; in the
		// join record itself it is 0.
		JoinOffset uint64 `json:"since,omitempty"`
	}

	// OutOfServiceChange takes a failure domain or a backend server out of
	// service or puts it back into service.
	OutOfServiceChange struct {
		// Name is the failure domain, or the name of the backend server's
		// node.
		Name string `json:"name"`
		// OutOfService is false to put it back into service.
		OutOfService bool `json:"out"`
	}

	// Record is one change. Only the field that its Kind requires is set:
	// Manifest, OutOfServiceChange, Member or Snapshot.
	Record struct {
		// Format is RecordFormat. Records with another format are skipped.
		Format int `json:"format"`
		// Kind is what the record changes.
		Kind Kind `json:"kind"`
		// ID is unique for a change. Retries of the append keep it.
		ID string `json:"id"`
		// BaseVersion is the configuration version against which a manifest,
		// domain or server change was made.
		BaseVersion uint64 `json:"base,omitempty"`
		// Author is the author of the change, for other operators to read. It
		// is empty in a node's own records.
		Author string `json:"author,omitempty"`
		// Manifest is the new manifest.
		Manifest *parser.Manifest `json:"manifest,omitempty"`
		// OutOfServiceChange is the change of a failure domain or backend
		// server.
		OutOfServiceChange *OutOfServiceChange `json:"outage,omitempty"`
		// Member is the member that joins, leaves or is evicted. A leave or
		// eviction needs only Name and Incarnation.
		Member *Member `json:"member,omitempty"`
		// Snapshot is a whole state. A node that starts from it folds from
		// the offset after the state's offset, not after the record's.
		Snapshot *State `json:"snapshot,omitempty"`
		// ViewFloor is set in a snapshot. No node acts any more on a view
		// older than the view of this offset.
		ViewFloor uint64 `json:"floor,omitempty"`
	}
)

// Decode decodes a record and checks that it is complete. The error is an
// *UnsupportedFormatError for another format.
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

// Encode checks that r is complete and returns its encoding in the log.
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

// NewSnapshot returns a snapshot record with that state and view floor.
func NewSnapshot(s *State, floor uint64) Record {
	r := NewRecord(KindSnapshot)
	r.Snapshot = s
	r.ViewFloor = floor
	return r
}

// Error returns a message that names both formats.
func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("record has format %d, want %d", e.Format, RecordFormat)
}

// ConnectsToLog reports whether r is a snapshot from which a log can be folded
// whose oldest record is at offset oldest, without a missing record in between.
func (r Record) ConnectsToLog(oldest uint64) bool {
	return r.Kind == KindSnapshot && r.Snapshot.Offset+1 >= oldest
}

// IsConfigChange reports whether r changes the configuration, not the membership.
func (r Record) IsConfigChange() bool {
	return r.Kind == KindManifest || r.Kind == KindDomain || r.Kind == KindServer
}

func (r Record) check() error {
	if r.ID == "" {
		return errors.New("record has an empty ID")
	}
	hasContent := map[Kind]bool{
		KindDomain:   r.OutOfServiceChange != nil && r.OutOfServiceChange.Name != "",
		KindEvict:    r.Member != nil && r.Member.Name != "" && r.Member.Incarnation != "",
		KindJoin:     r.Member != nil && r.Member.Name != "" && r.Member.Incarnation != "" && r.Member.PeerAddress != "",
		KindLeave:    r.Member != nil && r.Member.Name != "" && r.Member.Incarnation != "",
		KindManifest: r.Manifest != nil,
		KindServer:   r.OutOfServiceChange != nil && r.OutOfServiceChange.Name != "",
		KindSnapshot: r.Snapshot != nil,
	}
	complete, known := hasContent[r.Kind]
	if !known {
		return fmt.Errorf("record kind %q is unknown", r.Kind)
	}
	if !complete {
		return fmt.Errorf("record of kind %q lacks its required content", r.Kind)
	}
	return nil
}
