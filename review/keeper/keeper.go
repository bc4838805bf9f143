// Package keeper stands in for the platform's log store. It serves the topics that keep
// the newest record of each key, as the protocol page specifies.
package keeper

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

const (
	// answerDelay is the time that the store takes for an answer.
	answerDelay = 4 * time.Millisecond
	// maxWait bounds the time for which a read is held open.
	maxWait = 30 * time.Second
	// maxPageItems bounds the records of one page of the newest ones.
	maxPageItems = 500
)

type (
	// Keeper is the stand-in. Create it with Start. It is safe for concurrent use.
	Keeper struct {
		server   *http.Server
		listener net.Listener

		mu     sync.Mutex
		topics map[string]*topic
		// loseAnswer reports whether the answer to an append is lost after the append
		// took effect; nil loses none.
		loseAnswer func(topic, key string) bool
	}

	// topic is one partition of records.
	topic struct {
		records []record
		// changed is closed when a record is appended.
		changed chan struct{}
	}

	// record is a record with its encoding as it was appended.
	record struct {
		key   string
		value []byte
		raw   []byte
	}
)

// Start serves at a free port of the IP address. It returns an error if it can't listen.
func Start(ip string) (k *Keeper, err error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	k = &Keeper{listener: listener, topics: map[string]*topic{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", k.serveAppend)
	mux.HandleFunc("GET /log-newest", k.serveNewest)
	mux.HandleFunc("GET /log-read", k.serveRead)
	k.server = &http.Server{Handler: mux}
	go func() { _ = k.server.Serve(listener) }()
	return k, nil
}

// Address returns the host and port of the store.
func (k *Keeper) Address() string {
	return k.listener.Addr().String()
}

// Close ends the stand-in at once.
func (k *Keeper) Close() {
	k.server.Close()
}

// Put appends a record with a key, as the operator does.
func (k *Keeper) Put(name, key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	data := append([]byte{byte(len(key))}, key...)
	k.append(name, append(data, value...))
}

// LoseAnswers sets which appends take effect without an answer. nil loses none.
func (k *Keeper) LoseAnswers(lose func(topic, key string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loseAnswer = lose
}

// topic returns a topic and creates it on first use. The caller holds the lock.
func (k *Keeper) topic(name string) *topic {
	t := k.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		k.topics[name] = t
	}
	return t
}

// append adds one record without its length. The caller holds the lock.
func (k *Keeper) append(name string, data []byte) (key string) {
	t := k.topic(name)
	r := record{raw: data}
	if len(data) > 0 && len(data) >= 1+int(data[0]) {
		r.key, r.value = string(data[1:1+int(data[0])]), data[1+int(data[0]):]
	}
	t.records = append(t.records, r)
	close(t.changed)
	t.changed = make(chan struct{})
	return r.key
}

func (k *Keeper) serveAppend(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	k.mu.Lock()
	first, key := len(k.topic(name).records), ""
	for len(data) >= 4 {
		length := int(binary.BigEndian.Uint32(data))
		if length > len(data)-4 {
			break
		}
		key = k.append(name, slices.Clone(data[4:4+length]))
		data = data[4+length:]
	}
	end := len(k.topic(name).records)
	lost := k.loseAnswer != nil && k.loseAnswer(name, key)
	k.mu.Unlock()
	if lost {
		// The connection stays open and returns nothing further.
		<-r.Context().Done()
		return
	}
	writeJSON(w, map[string]any{"offset": first, "endOffset": end})
}

func (k *Keeper) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	k.mu.Lock()
	t := k.topic(r.URL.Query().Get("topic"))
	newest, offsets := map[string][]byte{}, map[string]int{}
	for i, record := range t.records {
		newest[record.key], offsets[record.key] = record.value, i
		if len(record.value) == 0 {
			delete(newest, record.key)
		}
	}
	end := len(t.records)
	k.mu.Unlock()
	after := r.URL.Query().Get("after")
	keys := make([]string, 0, len(newest))
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxPageItems
	items := make([]map[string]any, 0, min(maxPageItems, len(keys)))
	for _, key := range keys[:min(maxPageItems, len(keys))] {
		items = append(items, map[string]any{"privateKey": key, "value": base64.StdEncoding.EncodeToString(newest[key]), "offset": offsets[key]})
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

func (k *Keeper) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("fromRev"))
	millis, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(min(maxWait, time.Duration(millis)*time.Millisecond))
	defer timer.Stop()
	for expired := false; ; {
		k.mu.Lock()
		t := k.topic(query.Get("topic"))
		changed, records := t.changed, t.records
		k.mu.Unlock()
		if from < len(records) || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record.raw)))
				out = append(out, record.raw...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
