// Package store is a stand-in for the platform's metadata store: topics with one partition,
// of which those that begin with "keyed." keep the newest record of each key.
package store

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// OperatorTopic holds the records of the operator.
const OperatorTopic = "keyed.op"

type (
	// Store serves the store's interface on a loopback address. It is safe for concurrent use.
	Store struct {
		// Address is the host and the port at which it listens.
		Address string

		server *http.Server
		mu     sync.Mutex
		topics map[string]*topic
		fault  func(w http.ResponseWriter, r *http.Request) (handled bool)
	}

	// topic is the log of one topic. The offset of a record is its index.
	topic struct {
		records []record
		// first is the first offset that is retained.
		first   int
		changed chan struct{}
	}

	record struct {
		key   string
		value []byte
	}
)

// Start listens on a free port of ip, a loopback address.
func Start(ip string) (s *Store, err error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("start store at %s: %w", ip, err)
	}
	s = &Store{Address: listener.Addr().String(), topics: map[string]*topic{}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close closes the listener and all connections.
func (s *Store) Close() {
	_ = s.server.Close()
}

// SetFault lets f answer calls in place of the store; nil ends that. f reports whether it has
// answered.
func (s *Store) SetFault(f func(w http.ResponseWriter, r *http.Request) (handled bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Put appends a record. An empty value drops the key.
func (s *Store) Put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topicName, record{key: key, value: value})
}

// Forget drops the records of all topics but the newest of each key.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = len(t.records)
	}
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil && fault(w, r) {
		return
	}
	s.Serve(w, r)
}

// Serve answers a call without a fault.
func (s *Store) Serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	case "/log-read":
		s.serveRead(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(topicName string, r record) {
	t := s.topic(topicName)
	t.records = append(t.records, r)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil || len(data) < 5 || int(binary.BigEndian.Uint32(data)) != len(data)-4 || len(data) < 5+int(data[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := 5 + int(data[4])
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	s.append(name, record{key: string(data[5:end]), value: slices.Clone(data[end:])})
	next := len(s.topic(name).records)
	fmt.Fprintf(w, `{"offset":%d,"endOffset":%d}`, next-1, next)
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	newest := map[string]int{}
	for offset, entry := range t.records {
		newest[entry.key] = offset
		if len(entry.value) == 0 {
			delete(newest, entry.key)
		}
	}
	items := []map[string]any{}
	for key, offset := range newest {
		if key > r.URL.Query().Get("after") {
			items = append(items, map[string]any{"privateKey": key, "value": base64.StdEncoding.EncodeToString(t.records[offset].value), "offset": offset})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "endOffset": len(t.records)})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("fromRev"))
	millis, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(millis) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		changed, records, first := t.changed, t.records, t.first
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			fmt.Fprintf(w, `{"firstOffset":%d}`, first)
			return
		}
		if from < len(records) {
			writeRecords(w, records, first, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeRecords(w, records, first, len(records))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes the end of the log, its first offset and the records from an offset on.
func writeRecords(w io.Writer, records []record, first, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, entry := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(entry.key)+len(entry.value)))
		out = append(append(append(out, byte(len(entry.key))), entry.key...), entry.value...)
	}
	_, _ = w.Write(out)
}
