package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// The kinds of outage of the log service.
const (
	// OutageNone serves.
	OutageNone Outage = iota
	// OutageRefuse answers every request with 503.
	OutageRefuse
	// OutageHang answers no request until the outage ends, then with 503.
	OutageHang
)

const (
	defaultPage       = 1000
	maxRecordBytes    = 16 << 20
	maxWait           = 30 * time.Second
	readHeaderTimeout = 10 * time.Second
)

type (
	// LogService stands in for the platform's append-only log. It is an
	// http.Handler and safe for concurrent use.
	LogService struct {
		mu      sync.Mutex
		memory  *journaler.Memory
		changed chan struct{}
		outage  Outage
		latency time.Duration
		lose    int
		keep    uint64
	}

	// Outage tells how the log service fails.
	Outage int
)

// NewLogService returns an empty LogService that works and keeps all records.
func NewLogService() *LogService {
	return &LogService{memory: journaler.NewMemory(), changed: make(chan struct{})}
}

// LoseAnswers makes the service close the connection in place of an answer for
// the next n appends, after they took effect.
func (l *LogService) LoseAppendAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// Memory returns the records, past all faults.
func (l *LogService) MemoryLog() *journaler.Memory {
	return l.memory
}

// Retain trims the log to its last n records, now and after each append; 0
// keeps all.
func (l *LogService) SetRetention(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep = uint64(n)
	l.trim()
}

// SetLatency delays every answer by d.
func (l *LogService) SetLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = d
}

// SetOutage begins an outage, or ends it with OutageNone.
func (l *LogService) SetOutage(o Outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = o
	close(l.changed)
	l.changed = make(chan struct{})
}

// Start listens on an address such as 127.0.0.1:0.
func (l *LogService) Start(address string) (*RunningServer, error) {
	return start(address, l)
}

// ServeHTTP answers appends and reads.
func (l *LogService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != journaler.RecordsPath {
		http.NotFound(w, r)
		return
	}
	if !l.available(w, r) {
		return
	}
	switch r.Method {
	case http.MethodPost:
		l.append(w, r)
	case http.MethodGet:
		l.read(w, r)
	default:
		http.Error(w, "use GET or POST", http.StatusMethodNotAllowed)
	}
}

// available waits for the latency. It reports whether the service works and
// answers the request itself when it does not.
func (l *LogService) available(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	outage, changed, latency := l.outage, l.changed, l.latency
	l.mu.Unlock()
	if latency > 0 {
		timekeeper.Sleep(r.Context(), latency)
	}
	if outage == OutageHang {
		select {
		case <-changed:
		case <-r.Context().Done():
		}
	}
	if outage != OutageNone {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (l *LogService) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	offset, _ := l.memory.Append(r.Context(), data)
	l.trim()
	lost := l.lose > 0
	if lost {
		l.lose--
	}
	l.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, journaler.Appended{Offset: offset})
}

func (l *LogService) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultPage
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = 0
	}
	page, err := l.memory.Read(r.Context(), from, limit, min(wait, maxWait))
	var trimmed *journaler.TrimmedError
	switch {
	case !l.working():
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case errors.As(err, &trimmed):
		writeJSON(w, http.StatusGone, page)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, page)
	}
}

func (l *LogService) trim() {
	if l.keep == 0 {
		return
	}
	tail := l.memory.Tail()
	if tail > l.keep {
		l.memory.Trim(tail - l.keep + 1)
	}
}

func (l *LogService) working() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outage == OutageNone
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
