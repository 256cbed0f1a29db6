package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/remote"
)

const (
	highScore      = willowwick.Score(0.95)
	lowScore       = willowwick.Score(0.2)
	maxRecordBytes = 16 << 20
	pathFaults     = "/faults"
	pathBoxes      = "/live/boxes"
	pathEndpoints  = "/live/endpoints"
)

type (
	// PlatformFaults are the faults that the platform injects.
	PlatformFaults struct {
		LogDown        bool `json:"logDown"`
		DroppedAnswers int  `json:"loseAnswer"` // appends that take effect without an answer
		SlowMs         int  `json:"slowMs"`     // delay of every answer of the log, the list and the rater
		ListDown       bool `json:"listDown"`
		ListLagMs      int  `json:"listLagMs"` // time until a change of the list becomes visible
		RaterDown      bool `json:"raterDown"`
		RaterMs        int  `json:"raterMs"` // duration of a rating
		Retain         int  `json:"retain"`  // records kept on the configuration stream; 0 keeps all
	}

	// Platform stands in for the log, the list of boxes and endpoints, and the rater.
	Platform struct {
		mu        sync.Mutex
		faults    PlatformFaults
		streams   map[willowwick.StreamID]*stream
		boxes     map[willowwick.BoxID]willowwick.Box
		endpoints map[willowwick.EndpointID]willowwick.Endpoint
		listings  []timedListing // oldest first; ListLagMs selects an older one
		appends   int
		mux       *http.ServeMux
	}

	stream struct {
		first   willowwick.Offset // of the first entry that is kept
		entries []willowwick.Entry
	}

	timedListing struct {
		publishedAt time.Time
		listing     willowwick.Listing
	}
)

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{
		streams:   map[willowwick.StreamID]*stream{},
		boxes:     map[willowwick.BoxID]willowwick.Box{},
		endpoints: map[willowwick.EndpointID]willowwick.Endpoint{},
		mux:       http.NewServeMux(),
	}
	p.mux.HandleFunc("POST "+remote.PathLog+"{stream}", p.handleAppend)
	p.mux.HandleFunc("GET "+remote.PathLog+"{stream}", p.handleRead)
	p.mux.HandleFunc("GET "+remote.PathLive, p.handleList)
	p.mux.HandleFunc("POST "+remote.PathRate, p.handleRate)
	p.mux.HandleFunc("PUT "+pathFaults, p.handleFaults)
	p.mux.HandleFunc("PUT "+pathBoxes, handlePut(p.SetBox))
	p.mux.HandleFunc("PUT "+pathEndpoints, handlePut(p.SetEndpoint))
	p.publishListing()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// SetFaults changes the faults.
func (p *Platform) SetFaults(change func(*PlatformFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
}

// SetBox adds or replaces a box on the list.
func (p *Platform) SetBox(box willowwick.Box) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boxes[box.ID] = box
	p.publishListing()
}

// RemoveBox removes a box from the list.
func (p *Platform) RemoveBox(id willowwick.BoxID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.boxes, id)
	p.publishListing()
}

// SetEndpoint adds or replaces an endpoint on the list.
func (p *Platform) SetEndpoint(endpoint willowwick.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[endpoint.ID] = endpoint
	p.publishListing()
}

// Endpoints returns the endpoints on the list, by ID.
func (p *Platform) Endpoints() map[willowwick.EndpointID]willowwick.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.endpoints)
}

// Entries returns the entries that a stream holds.
func (p *Platform) Entries(id willowwick.StreamID) []willowwick.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]willowwick.Entry(nil), p.stream(id).entries...)
}

// Appends returns the number of records appended so far.
func (p *Platform) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

func (p *Platform) publishListing() {
	listing := willowwick.Listing{Revision: strconv.Itoa(len(p.listings) + 1)}
	for _, box := range p.boxes {
		listing.Boxes = append(listing.Boxes, box)
	}
	for _, endpoint := range p.endpoints {
		listing.Endpoints = append(listing.Endpoints, endpoint)
	}
	p.listings = append(p.listings, timedListing{publishedAt: time.Now(), listing: listing})
}

func (p *Platform) stream(id willowwick.StreamID) *stream {
	s := p.streams[id]
	if s == nil {
		s = &stream{first: 1}
		p.streams[id] = s
	}
	return s
}

// Append appends a record directly, bypassing faults.
func (p *Platform) Append(id willowwick.StreamID, data []byte) willowwick.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.append(id, data)
}

func (p *Platform) append(id willowwick.StreamID, data []byte) willowwick.Offset {
	s := p.stream(id)
	p.appends++
	offset := s.first + willowwick.Offset(len(s.entries))
	s.entries = append(s.entries, willowwick.Entry{Offset: offset, Data: data})
	if p.faults.Retain > 0 && id == willowwick.StreamConfig && len(s.entries) > p.faults.Retain {
		excess := len(s.entries) - p.faults.Retain
		s.entries = append([]willowwick.Entry(nil), s.entries[excess:]...)
		s.first += willowwick.Offset(excess)
	}
	return offset
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.checkAvailable(w, func(f PlatformFaults) bool { return f.LogDown }) {
		return
	}
	p.mu.Lock()
	offset := p.append(willowwick.StreamID(r.PathValue("stream")), data)
	dropAnswer := p.faults.DroppedAnswers > 0
	if dropAnswer {
		p.faults.DroppedAnswers--
	}
	p.mu.Unlock()
	if dropAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]willowwick.Offset{"offset": offset})
}

// checkAvailable waits for the SlowMs fault, then reports whether the part is up; it answers an error if not.
func (p *Platform) checkAvailable(w http.ResponseWriter, isDown func(PlatformFaults) bool) bool {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.SlowMs > 0 {
		time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
	}
	if isDown(faults) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	if !p.checkAvailable(w, func(f PlatformFaults) bool { return f.LogDown }) {
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil {
		http.Error(w, "limit: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, p.Read(willowwick.StreamID(r.PathValue("stream")), willowwick.Offset(from), limit))
}

// Read returns a page directly, bypassing faults.
func (p *Platform) Read(id willowwick.StreamID, from willowwick.Offset, limit int) willowwick.Page {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(id)
	page := willowwick.Page{First: s.first, Next: s.first + willowwick.Offset(len(s.entries))}
	if from >= s.first && from < page.Next {
		available := s.entries[from-s.first:]
		page.Entries = append(page.Entries, available[:min(limit, len(available))]...)
	}
	return page
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	if !p.checkAvailable(w, func(f PlatformFaults) bool { return f.ListDown }) {
		return
	}
	p.mu.Lock()
	listing := p.visibleListing()
	p.mu.Unlock()
	if listing.Revision == r.URL.Query().Get("known") {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, listing)
}

func (p *Platform) visibleListing() willowwick.Listing {
	visible := time.Now().Add(-time.Duration(p.faults.ListLagMs) * time.Millisecond)
	for i := len(p.listings) - 1; i > 0; i-- {
		if !p.listings[i].publishedAt.After(visible) {
			return p.listings[i].listing
		}
	}
	return p.listings[0].listing
}

func (p *Platform) handleRate(w http.ResponseWriter, r *http.Request) {
	var rating willowwick.RatingRequest
	if err := json.NewDecoder(r.Body).Decode(&rating); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.checkAvailable(w, func(f PlatformFaults) bool { return f.RaterDown }) {
		return
	}
	p.mu.Lock()
	delayMs := p.faults.RaterMs
	p.mu.Unlock()
	time.Sleep(time.Duration(delayMs) * time.Millisecond)
	score := highScore
	if strings.Contains(rating.Answer, lowScoreMarker) {
		score = lowScore
	}
	writeJSON(w, map[string]willowwick.Score{"score": score})
}

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(func(f *PlatformFaults) { *f = faults })
	writeJSON(w, faults)
}

// handlePut returns a handler that decodes a JSON body and passes it to set.
func handlePut[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
		writeJSON(w, value)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
