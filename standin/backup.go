package standin

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
)

// eraHeader is the response header that names the store's current era.
const eraHeader = "Store-Era"

// routerTopics hold the routers' own records; RestoreBackup leaves them out, since only the routers write them again.
var routerTopics = []string{"keyed.status", "keyed.willowwick.duties"}

// LostRecord is a record of the operator or of an endpoint that the store lost; an empty Value means the key was
// deleted.
type LostRecord struct {
	Topic, Key string
	Value      []byte
}

// SetEra sets the store's era; responses carry no era header while it is 0.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// SaveBackup saves the store's current content for RestoreBackup.
func (s *Store) SaveBackup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = copyTopics(s.topics)
}

// RestoreBackup restores the saved content under a new era and returns the latest lost record of each key that the
// operator or an endpoint wrote. Pending long-poll reads are aborted.
func (s *Store) RestoreBackup() []LostRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []LostRecord
	for _, name := range slices.Sorted(maps.Keys(s.topics)) {
		if !slices.Contains(routerTopics, name) {
			lost = append(lost, s.topics[name].lostSince(name, s.backup[name])...)
		}
	}
	s.topics = copyTopics(s.backup)
	s.era++
	return lost
}

// RewriteRecords writes lost records again, as the operator and endpoints do when they find them missing. Keys written
// since the restore keep their newer value.
func (s *Store) RewriteRecords(records ...LostRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		if s.topic(record.Topic).wasWrittenSince(record.Key, s.backup[record.Topic].endOrZero()) {
			continue
		}
		data := append([]byte{byte(len(record.Key))}, record.Key...)
		s.topic(record.Topic).append(append(data, record.Value...))
	}
}

// lostSince returns the latest record of each key that the backup lacks, in write order.
func (t *storeTopic) lostSince(name string, backup *storeTopic) []LostRecord {
	var lost []LostRecord
	for key, at := range t.lastWrites {
		if at >= backup.endOrZero() {
			lost = append(lost, LostRecord{name, key, t.newest[key].value})
		}
	}
	slices.SortFunc(lost, func(a, b LostRecord) int { return cmp.Compare(t.lastWrites[a.Key], t.lastWrites[b.Key]) })
	return lost
}

// wasWrittenSince reports whether a key was written or deleted at or after an offset.
func (t *storeTopic) wasWrittenSince(key string, from uint64) bool {
	at, found := t.lastWrites[key]
	return found && at >= from
}

// endOrZero returns the topic's end offset, or 0 for a nil topic.
func (t *storeTopic) endOrZero() uint64 {
	if t == nil {
		return 0
	}
	return t.end()
}

// copyTopics returns a copy that later appends do not change.
func copyTopics(topics map[string]*storeTopic) map[string]*storeTopic {
	copied := map[string]*storeTopic{}
	for name, topic := range topics {
		copied[name] = &storeTopic{first: topic.first, records: slices.Clone(topic.records), newest: maps.Clone(topic.newest), lastWrites: maps.Clone(topic.lastWrites)}
	}
	return copied
}

// eraValue returns the value of the era header, empty for era 0; the caller holds the lock.
func (s *Store) eraValue() string {
	if s.era == 0 {
		return ""
	}
	return strconv.FormatUint(s.era, 10)
}
