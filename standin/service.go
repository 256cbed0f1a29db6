package standin

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/remote"
)

const (
	headerEntry  = "X-Entry"
	maxBodyBytes = 1 << 20
)

type (
	// ServiceFaults are the faults that one instance of a plain service injects.
	ServiceFaults struct {
		Draining          bool `json:"leaving"`   // announce it, and reject calls
		AnnouncesDraining bool `json:"announced"` // announce it in answers only, and accept calls
		DroppedAnswers    int  `json:"dropAfter"` // calls that take effect without an answer
		SlowMs            int  `json:"slowMs"`
		// RateLimit is the rate limit that answers carry; empty for none.
		RateLimit string `json:"rateLimit"`
	}

	// Service stands in for an instance of a plain service; it counts the effects of its calls.
	Service struct {
		ID      willowwick.EndpointID
		mu      sync.Mutex
		faults  ServiceFaults
		effects map[string]int // by the value of the X-Entry header
		mux     *http.ServeMux
	}
)

// NewService returns an instance of a plain service.
func NewService(id willowwick.EndpointID) *Service {
	s := &Service{ID: id, effects: map[string]int{}, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+remote.PathLoad, s.handleLoad)
	s.mux.HandleFunc("PUT "+pathFaults, handlePut(func(f ServiceFaults) { s.SetFaults(func(old *ServiceFaults) { *old = f }) }))
	s.mux.HandleFunc("/", s.handleCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults changes the faults.
func (s *Service) SetFaults(change func(*ServiceFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Effects returns how often each entry took effect.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.effects)
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	if faults.RateLimit != "" {
		w.Header().Set(remote.HeaderRateLimit, faults.RateLimit)
	}
	if faults.AnnouncesDraining {
		w.Header().Set(remote.HeaderLeaving, "true")
	}
	if faults.Draining {
		s.mu.Unlock()
		w.Header().Set(remote.HeaderLeaving, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	s.effects[r.Header.Get(headerEntry)]++
	if s.faults.DroppedAnswers > 0 {
		s.faults.DroppedAnswers--
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
	if faults.DroppedAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]string{
		"service": string(s.ID), "method": r.Method, "path": r.URL.Path, "body": string(body),
	})
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	draining := s.faults.Draining
	s.mu.Unlock()
	writeJSON(w, willowwick.EndpointLoad{Endpoint: s.ID, Draining: draining, At: time.Now()})
}
