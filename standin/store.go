package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// maxAppendBytes limits the body of one append.
	maxAppendBytes = 2 << 20
	// readPollInterval is how often a waiting read checks for records.
	readPollInterval = 5 * time.Millisecond
	// lengthPrefixBytes is the size of the length prefix of each record on the wire.
	lengthPrefixBytes = 4
)

type (
	// StoreFaults are the faults that a Store injects.
	StoreFaults struct {
		Down           bool
		DroppedAnswers int // writes that take effect without an answer
	}

	// Store stands in for the users' platform's store: topics of records and groups of members.
	Store struct {
		mu          sync.Mutex
		faults      StoreFaults
		unavailable map[string]bool // topics that are not served
		topics      map[string]*storeTopic
		groups      map[string]*storeGroup
		calls       map[string]int         // number of calls by path
		era         uint64                 // 0 if answers name no era
		backup      map[string]*storeTopic // what SaveBackup saved
		mux         *http.ServeMux
	}

	storeTopic struct {
		first      uint64 // offset of the first record that is kept
		records    [][]byte
		newest     map[string]storeRecord // newest value of each key that is not deleted
		lastWrites map[string]uint64      // offset of each key's last write or deletion
	}

	storeRecord struct {
		value  []byte
		offset uint64
	}

	storeGroup struct {
		generation uint64               // counts the changes of the members
		members    map[string]time.Time // expiry of each member
		topic      string               // the member that owns its only part is the leader
		owner      string               // of that part
		isMoving   bool                 // the owner has to give up the part, and does with a join that names the newest generation
	}

	joinRequest struct {
		Group      string   `json:"group"`
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTLMs      int64    `json:"ttl-ms"`
		Generation uint64   `json:"generation"`
	}

	storeItem struct {
		Key    string `json:"key-file"`
		Value  string `json:"value"` // base64
		Offset uint64 `json:"offset"`
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		unavailable: map[string]bool{}, topics: map[string]*storeTopic{}, groups: map[string]*storeGroup{}, calls: map[string]int{},
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /log-append", s.handleAppend)
	s.mux.HandleFunc("GET /log-read", s.handleRead)
	s.mux.HandleFunc("GET /log-newest", s.handleReadNewest)
	s.mux.HandleFunc("POST /log-join", s.handleJoin)
	s.mux.HandleFunc("POST /log-leave", s.handleLeave)
	s.mux.HandleFunc("GET /log-owners", s.handleOwners)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	down := s.isDown(r.URL.Query().Get("topic"))
	if era := s.eraValue(); era != "" {
		w.Header().Set(eraHeader, era)
	}
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the store's faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetUnavailable makes calls for one topic fail, or ends that; calls for other topics are still served.
func (s *Store) SetUnavailable(topic string, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable[topic] = unavailable
}

// isDown reports whether calls for a topic, or for none if empty, are not served; the caller holds the lock.
func (s *Store) isDown(topic string) bool {
	return s.faults.Down || s.unavailable[topic]
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes the value of a key as the operator or an endpoint does; a nil value deletes the key.
func (s *Store) Put(topic, key string, value any) error {
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			return err
		}
	}
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).append(append(record, data...))
	return nil
}

// PutRaw appends bytes as they are, as a writer of another format does; they need not hold a key and a value.
func (s *Store) PutRaw(topic string, record []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		t.records = append(t.records, record)
		return
	}
	t.append(record)
}

// Get returns the newest value of a key.
func (s *Store) Get(topic, key string) (value []byte, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, found := s.topic(topic).newest[key]
	return record.value, found
}

// TrimHistory drops the history of a topic; the newest record of each key stays readable.
func (s *Store) TrimHistory(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first += uint64(len(t.records))
	t.records = nil
}

func (s *Store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: map[string]storeRecord{}, lastWrites: map[string]uint64{}}
		s.topics[name] = t
	}
	return t
}

func (t *storeTopic) end() uint64 {
	return t.first + uint64(len(t.records))
}

// append appends a record: a byte with the length of the key, the key and the value, which is empty for a deletion.
func (t *storeTopic) append(record []byte) {
	keyEnd := 1 + int(record[0])
	key, value := string(record[1:keyEnd]), record[keyEnd:]
	t.lastWrites[key] = t.end()
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = storeRecord{value: value, offset: t.end()}
	}
	t.records = append(t.records, record)
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAppendBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	if expectedEnd := r.URL.Query().Get("store-revision"); expectedEnd != "" && expectedEnd != strconv.FormatUint(t.end(), 10) {
		end := t.end()
		s.mu.Unlock()
		writeJSONStatus(w, http.StatusPreconditionFailed, map[string]uint64{"end": end})
		return
	}
	offset := t.end()
	for len(body) > lengthPrefixBytes {
		size := int(binary.BigEndian.Uint32(body))
		t.append(body[lengthPrefixBytes : lengthPrefixBytes+size])
		body = body[lengthPrefixBytes+size:]
	}
	end := t.end()
	dropAnswer := s.faults.DroppedAnswers > 0
	if dropAnswer {
		s.faults.DroppedAnswers--
	}
	s.mu.Unlock()
	if dropAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSONStatus(w, http.StatusOK, map[string]uint64{"offset": offset, "end": end})
}

func writeJSONStatus(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Errors are ignored: the caller sees a truncated answer.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	era := w.Header().Get(eraHeader)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		first, end, down := t.first, t.end(), s.isDown(query.Get("topic"))
		eraChanged := era != s.eraValue()
		var records [][]byte
		if from >= first && from <= end {
			records = firstRecordsWithin(t.records[from-first:], query.Get("max-kb"))
		}
		s.mu.Unlock()
		switch {
		case down, eraChanged:
			panic(http.ErrAbortHandler)
		case from < first, from > end:
			writeJSONStatus(w, http.StatusGone, map[string]uint64{"first": first})
			return
		case len(records) > 0 || time.Now().After(deadline) || r.Context().Err() != nil:
			writeRecords(w, end, first, records)
			return
		}
		time.Sleep(readPollInterval)
	}
}

// firstRecordsWithin returns the leading records that fit into limitKB kilobytes together, but at least one; all of
// them if limitKB is empty.
func firstRecordsWithin(records [][]byte, limitKB string) [][]byte {
	limit, err := strconv.Atoi(limitKB)
	if err != nil {
		return records
	}
	size := 0
	for i, record := range records {
		if size += lengthPrefixBytes + len(record); size > limit<<10 && i > 0 {
			return records[:i]
		}
	}
	return records
}

func writeRecords(w http.ResponseWriter, end, first uint64, records [][]byte) {
	data := binary.BigEndian.AppendUint64(nil, end)
	data = binary.BigEndian.AppendUint64(data, first)
	for _, record := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	_, _ = w.Write(data)
}

func (s *Store) handleReadNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []storeItem{}
	for key, record := range t.newest {
		items = append(items, storeItem{key, base64.StdEncoding.EncodeToString(record.value), record.offset})
	}
	end := t.end()
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSONStatus(w, http.StatusOK, struct {
		Items []storeItem `json:"items"`
		More  bool        `json:"has-more"`
		End   uint64      `json:"end"`
	}{items, false, end})
}

func (s *Store) handleJoin(w http.ResponseWriter, r *http.Request) {
	var call joinRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.groups[call.Group]
	if g == nil {
		g = &storeGroup{members: map[string]time.Time{}, topic: call.Topics[0]}
		s.groups[call.Group] = g
	}
	if _, known := g.members[call.Member]; !known {
		g.generation++
	}
	g.members[call.Member] = time.Now().Add(time.Duration(call.TTLMs) * time.Millisecond)
	g.expire()
	if g.isMoving && g.owner == call.Member && call.Generation >= g.generation {
		g.moveFrom(call.Member)
	}
	var parts [][]any
	if g.partOwner() == call.Member && !g.isMoving {
		parts = append(parts, []any{g.topic, 0, 0})
	}
	generation := g.generation
	s.mu.Unlock()
	writeJSONStatus(w, http.StatusOK, map[string]any{"generation": generation, "ttl-ms": call.TTLMs, "parts": parts})
}

// expire removes the members whose time to live has passed; the caller holds the lock.
func (g *storeGroup) expire() {
	for member, expiry := range g.members {
		if time.Now().After(expiry) {
			delete(g.members, member)
			g.generation++
		}
	}
}

// MovePart assigns the part of a group to another member, as the store does at times unasked.
func (s *Store) MovePart(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups[group].isMoving = true
	s.groups[group].generation++
}

// PartOwner returns the member that owns the part of a group.
func (s *Store) PartOwner(group string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[group].partOwner()
}

// moveFrom gives the part to another member, if there is one.
func (g *storeGroup) moveFrom(owner string) {
	for member := range g.members {
		if member != owner {
			g.owner, g.isMoving = member, false
			return
		}
	}
}

// partOwner returns the member that owns the topic's only part: the same one as long as it is a member.
func (g *storeGroup) partOwner() string {
	if _, isMember := g.members[g.owner]; isMember {
		return g.owner
	}
	g.owner, g.isMoving = "", false
	for member := range g.members {
		if g.owner == "" || member < g.owner {
			g.owner = member
		}
	}
	return g.owner
}

func (s *Store) handleLeave(w http.ResponseWriter, r *http.Request) {
	var call joinRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if g := s.groups[call.Group]; g != nil {
		delete(g.members, call.Member)
		g.generation++
	}
	s.mu.Unlock()
	writeJSONStatus(w, http.StatusOK, struct{}{})
}

func (s *Store) handleOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	var rows [][]any
	if g := s.groups[r.URL.Query().Get("group")]; g != nil {
		for member := range g.members {
			rows = append(rows, []any{g.topic, 0, member, 0})
		}
	}
	s.mu.Unlock()
	writeJSONStatus(w, http.StatusOK, map[string]any{"parts": rows})
}
