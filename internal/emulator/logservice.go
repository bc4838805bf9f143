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

// The modes of outage of the log service.
const (
	// OutageNone is normal service.
	OutageNone Outage = iota
	// OutageRefuse answers every request with 503.
	OutageRefuse
	// OutageHang answers no request until the outage ends. Requests that wait
	// then get 503.
	OutageHang
)

const (
	defaultPageRecords = 1000
	maxRecordBytes     = 16 << 20
	maxReadWait        = 30 * time.Second
	readHeaderTimeout  = 10 * time.Second
)

type (
	// LogService emulates the platform's append-only log. It is an
	// http.Handler and safe for concurrent use.
	LogService struct {
		mu                    sync.Mutex
		memoryLog             *journaler.MemoryLog
		outageChanged         chan struct{}
		outage                Outage
		latency               time.Duration
		appendResponsesToLose int
		retainedRecords       uint64
	}

	// Outage is the mode in which the log service fails.
	Outage int
)

// NewLogService returns an empty LogService without outage that keeps all
// records.
func NewLogService() *LogService {
	return &LogService{memoryLog: journaler.NewMemoryLog(), outageChanged: make(chan struct{})}
}

// LoseAppendResponses makes the service close the connection instead of
// responding to the next n appends, after the record was appended.
func (l *LogService) LoseAppendResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendResponsesToLose = n
}

// MemoryLog returns the log with its records. Access to it is not affected by
// faults.
func (l *LogService) MemoryLog() *journaler.MemoryLog {
	return l.memoryLog
}

// SetRetention trims the log to its last n records, now and after each append;
// 0 keeps all.
func (l *LogService) SetRetention(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retainedRecords = uint64(n)
	l.trim()
}

// SetLatency delays every answer by d.
func (l *LogService) SetLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = d
}

// SetOutage sets the mode of outage. OutageNone ends an outage.
func (l *LogService) SetOutage(o Outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = o
	close(l.outageChanged)
	l.outageChanged = make(chan struct{})
}

// Start listens on an address such as 127.0.0.1:0.
func (l *LogService) Start(address string) (*RunningServer, error) {
	return startServer(address, l)
}

// ServeHTTP answers appends and reads.
func (l *LogService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != journaler.RecordsPath {
		http.NotFound(w, r)
		return
	}
	if !l.checkAvailable(w, r) {
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

// checkAvailable waits for the latency and for the end of a hanging outage. It
// returns false after answering the request with 503 if there was an outage.
func (l *LogService) checkAvailable(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	outage, changed, latency := l.outage, l.outageChanged, l.latency
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
	offset, _ := l.memoryLog.Append(r.Context(), data)
	l.trim()
	lost := l.appendResponsesToLose > 0
	if lost {
		l.appendResponsesToLose--
	}
	l.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, journaler.AppendResponse{Offset: offset})
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
		limit = defaultPageRecords
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = 0
	}
	page, err := l.memoryLog.Read(r.Context(), from, limit, min(wait, maxReadWait))
	var trimmed *journaler.TrimmedError
	switch {
	case !l.isWorking():
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
	if l.retainedRecords == 0 {
		return
	}
	tail := l.memoryLog.Tail()
	if tail > l.retainedRecords {
		l.memoryLog.Trim(tail - l.retainedRecords + 1)
	}
}

func (l *LogService) isWorking() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outage == OutageNone
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
