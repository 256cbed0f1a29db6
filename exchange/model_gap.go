package exchange

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// modelGapTTL is how long the answer of an endpoint counts that it doesn't have a model: it may load the model meanwhile.
	modelGapTTL = 10 * time.Second
	// maxModelGaps bounds the gaps that are kept, since callers name the models.
	maxModelGaps = 256
)

type (
	// modelGaps are models that endpoints have said they don't have; the zero value has none.
	modelGaps struct {
		mu   sync.Mutex
		ends atomic.Pointer[map[modelGap]time.Time] // replaced at each change; nil for none
	}

	// modelGap is a model that an endpoint doesn't have.
	modelGap struct {
		of    endpointIncarnation
		model willowwick.ModelID
	}
)

// note records that an endpoint doesn't have a model.
func (g *modelGaps) note(now time.Time, endpoint willowwick.Endpoint, model willowwick.ModelID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ends := map[modelGap]time.Time{}
	if former := g.ends.Load(); former != nil {
		maps.Copy(ends, *former)
	}
	maps.DeleteFunc(ends, func(_ modelGap, end time.Time) bool { return !now.Before(end) })
	if len(ends) < maxModelGaps {
		ends[modelGap{incarnationOf(endpoint), model}] = now.Add(modelGapTTL)
	}
	g.ends.Store(&ends)
}

// isEmpty reports whether no endpoint has said that it doesn't have a model.
func (g *modelGaps) isEmpty() bool {
	ends := g.ends.Load()
	return ends == nil || len(*ends) == 0
}

// has reports whether an endpoint has said lately that it doesn't have a model.
func (g *modelGaps) has(now time.Time, endpoint willowwick.Endpoint, model willowwick.ModelID) bool {
	if g.isEmpty() {
		return false
	}
	end, isKnown := (*g.ends.Load())[modelGap{incarnationOf(endpoint), model}]
	return isKnown && now.Before(end)
}

// lacksModel reports whether an endpoint has said lately that it doesn't have the request's model.
func (c *call) lacksModel(endpoint willowwick.Endpoint) bool {
	if c.router.modelGaps.isEmpty() {
		return false
	}
	return c.router.modelGaps.has(clock.Now(), endpoint, c.requestedModel())
}

// noteMisdirected records an answer by which the request went to a wrong endpoint: one that doesn't have the model that the request
// names, or another than the one that is listed at the address.
func (s *send) noteMisdirected() {
	endpoint, model := s.ticket.Endpoint, s.requestedModel()
	if model == "" || model == anyModel {
		slog.Info("another endpoint answers at an endpoint's address", "endpoint", endpoint.ID, "address", endpoint.Address)
		s.router.pool.MarkMisplaced(endpoint)
		return
	}
	slog.Debug("an endpoint doesn't have the model of a request", "endpoint", endpoint.ID, "model", model)
	s.router.modelGaps.note(clock.Now(), endpoint, model)
}
