package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// operatorTopic holds the records of the operator.
	operatorTopic = "keyed.op"
	configKey     = "config"
	// appendTime is how long an append takes.
	appendTime = 2 * time.Millisecond
	// maxPageItems bounds the records of one page of the newest ones.
	maxPageItems = 500
)

type (
	// store is a stand-in for the platform's store with topics that keep the newest record
	// of each key. It is safe for concurrent use.
	store struct {
		address string
		server  *http.Server
		// refused, if set, reports whether the partition of a topic is down: the connections
		// of its calls are reset, and nothing is done.
		refused atomic.Pointer[func(topic string) bool]

		mu     sync.Mutex
		topics map[string]*topic
	}

	// topic is a partition that keeps the newest record of each key.
	topic struct {
		records []record
		// changed is closed and replaced with each append.
		changed chan struct{}
	}

	// record is one record of a topic. An empty value drops the key.
	record struct {
		key    string
		value  []byte
		offset int
	}
)

// newStore returns a store that listens on a free port of ip.
func newStore(ip string) (s *store, err error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s = &store{address: listener.Addr().String(), topics: map[string]*topic{}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// close ends the store.
func (s *store) close() {
	_ = s.server.Close()
}

// setDown takes the partitions of topics down; an empty list brings all back.
func (s *store) setDown(topics ...string) {
	refused := func(name string) bool { return slices.Contains(topics, name) }
	s.refused.Store(&refused)
}

// put appends a record, as the operator does. An empty value drops the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topicName, record{key: key, value: value})
}

// ServeHTTP answers the calls of the nodes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if refused := s.refused.Load(); refused != nil && (*refused)(name) {
		resetConnection(w)
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, name)
	case "/log-newest":
		s.serveNewest(w, r, name)
	case "/log-read":
		s.serveRead(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// append adds a record. The caller holds the lock.
func (s *store) append(name string, added record) {
	t := s.topic(name)
	added.offset = len(t.records)
	t.records = append(t.records, added)
	close(t.changed)
	t.changed = make(chan struct{})
}

// topic returns a topic, which is created on first use. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	data, err := io.ReadAll(r.Body)
	if err != nil || len(data) < 5 || int(binary.BigEndian.Uint32(data)) != len(data)-4 || len(data) < 5+int(data[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(appendTime)
	keyEnd := 5 + int(data[4])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, record{key: string(data[5:keyEnd]), value: data[keyEnd:]})
	end := len(s.topic(name).records)
	writeJSON(w, map[string]int{"offset": end - 1, "endOffset": end})
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	newest := map[string]record{}
	for _, each := range t.records {
		newest[each.key] = each
		if len(each.value) == 0 {
			delete(newest, each.key)
		}
	}
	after := r.URL.Query().Get("after")
	items, more := []map[string]any{}, false
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if after != "" && key <= after {
			continue
		}
		if more = len(items) == maxPageItems; more {
			break
		}
		items = append(items, map[string]any{"privateKey": key, "value": base64.StdEncoding.EncodeToString(newest[key].value), "offset": newest[key].offset})
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": more, "endOffset": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("fromRev"))
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(name)
		records, changed, end := t.records, t.changed, len(t.records)
		s.mu.Unlock()
		if from < end {
			_, _ = w.Write(encodeRecords(end, records[from:]))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = w.Write(encodeRecords(end, nil))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords returns the body of a read: the end and the first offset, and the records.
func encodeRecords(end int, records []record) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

func writeJSON(w http.ResponseWriter, body any) {
	var text strings.Builder
	_ = json.NewEncoder(&text).Encode(body)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, text.String())
}

// resetConnection resets the connection of a call.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
