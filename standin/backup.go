package standin

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
)

// eraHeader names the era of the store in its answers.
const eraHeader = "Store-Era"

// routerTopic holds what routers write; nobody writes it again for them.
const routerTopic = "keyed.status"

// LostRecord is a record of the operator or of an endpoint that a store lost; one without a value dropped its key.
type LostRecord struct {
	Topic, Key string
	Value      []byte
}

// SetEra says in which era the store is; in era 0 its answers name none.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// SaveBackup keeps what the store holds now, for RestoreBackup.
func (s *Store) SaveBackup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = copyTopics(s.topics)
}

// RestoreBackup begins a new era with what the store held as the copy was taken, and returns the newest records of the operator and of
// endpoints that it lost. Reads that wait are cut.
func (s *Store) RestoreBackup() []LostRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []LostRecord
	for _, name := range slices.Sorted(maps.Keys(s.topics)) {
		if name != routerTopic {
			lost = append(lost, s.topics[name].lostSince(name, s.backup[name])...)
		}
	}
	s.topics = copyTopics(s.backup)
	s.era++
	return lost
}

// RewriteRecords writes records again, as the operator and endpoints do that find them gone; what has been written anew since stays.
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

// lostSince lists the newest record of each key that a copy of the topic lacks, in the order in which they were written.
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

// wasWrittenSince reports whether a key was written or dropped since an offset.
func (t *storeTopic) wasWrittenSince(key string, from uint64) bool {
	at, found := t.lastWrites[key]
	return found && at >= from
}

// endOrZero is the end of a topic that there need not be.
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

// eraValue is what answers name as the era; the caller holds the lock.
func (s *Store) eraValue() string {
	if s.era == 0 {
		return ""
	}
	return strconv.FormatUint(s.era, 10)
}
