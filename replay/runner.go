package replay

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	cachedPrefillShare = 0.2 // share of the prefill time that remains when the prefix is cached
	maxCachedPrefixes  = 12  // per runner
	fullBatchSlowdown  = 0.6 // extra time per token in a full batch, as a share
)

type (
	// runner is a fake of a batching runner: one prefill at a time, slots for decoding, a bounded LRU cache of prompt
	// prefixes, and a queue.
	runner struct {
		id            willowwick.EndpointID
		hall          willowwick.HallID
		slots         int
		running       int
		waiting       []*job
		prefillFreeAt time.Time
		prefixCache   []uint64 // newest last
	}

	// job is one request to a runner.
	job struct {
		version  Version
		prompt   willowwick.Tokens
		output   willowwick.Tokens
		prefix   uint64
		slowdown float64
		fails    bool
		onStart  func(now, first, end time.Time)
	}
)

// submit starts a job, or queues it until a slot is free.
func (r *runner) submit(now time.Time, j *job) {
	if r.running >= r.slots {
		r.waiting = append(r.waiting, j)
		return
	}
	r.start(now, j)
}

// finish frees the slot of an ended job and starts the next queued job.
func (r *runner) finish(now time.Time) {
	r.running--
	if len(r.waiting) > 0 {
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.start(now, next)
	}
}

func (r *runner) start(now time.Time, j *job) {
	r.running++
	prefill := float64(j.prompt) / j.version.PrefillPerSec
	if r.touch(j.prefix) {
		prefill *= cachedPrefillShare
	}
	begins := now
	if r.prefillFreeAt.After(begins) {
		begins = r.prefillFreeAt
	}
	first := begins.Add(seconds(prefill * j.slowdown))
	r.prefillFreeAt = first
	perToken := j.version.PerTokenMs / 1000 * (1 + fullBatchSlowdown*float64(r.running)/float64(r.slots))
	end := first.Add(seconds(perToken * float64(j.output) * j.slowdown))
	if j.fails {
		end = first
	}
	j.onStart(now, first, end)
}

// touch makes a prefix the newest in the cache and reports whether it was cached.
func (r *runner) touch(prefix uint64) bool {
	for i, cached := range r.prefixCache {
		if cached == prefix {
			r.prefixCache = append(append(r.prefixCache[:i:i], r.prefixCache[i+1:]...), prefix)
			return true
		}
	}
	r.prefixCache = append(r.prefixCache, prefix)
	if len(r.prefixCache) > maxCachedPrefixes {
		r.prefixCache = r.prefixCache[1:]
	}
	return false
}

func (r *runner) load(now time.Time) willowwick.EndpointLoad {
	return willowwick.EndpointLoad{Endpoint: r.id, Running: r.running, Waiting: len(r.waiting), Slots: r.slots, At: now}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
