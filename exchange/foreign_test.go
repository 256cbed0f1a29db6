package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick"
)

// An entry of another writer replaces that of an endpoint: the endpoint gets no requests until its own next entry.
func TestAnEndpointIsNotUsedWhileAnotherWritersEntryStandsInItsPlace(t *testing.T) {
	discardLogs(t)
	m := newMesh(1, 1, 1, 0)
	s := m.boxes[0].sync
	now := time.Now()
	endpoint := meshEndpoint(1, 1)
	endpoint.Beat = 7
	s.applyListRead(willowwick.EndpointChanges{Snapshot: true, Present: []willowwick.Endpoint{endpoint}, Next: 1}, now, now)
	assert.Len(t, m.boxes[0].pool.Endpoints(), 1)
	s.applyListRead(willowwick.EndpointChanges{Invalid: []willowwick.EndpointID{endpoint.ID}, Next: 2}, now, now)
	assert.Empty(t, m.boxes[0].pool.Endpoints())
	endpoint.Beat = 8
	s.applyListRead(willowwick.EndpointChanges{Present: []willowwick.Endpoint{endpoint}, Next: 3}, now, now)
	assert.Len(t, m.boxes[0].pool.Endpoints(), 1)
}
