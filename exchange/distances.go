package exchange

import (
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/willowwick/willowwick"
)

// Reasons why a request is sent to another region, for logs.
const (
	// leftNowhere means that the request stays in this region.
	leftNowhere    = ""
	leftForbidden  = "not allowed in this region"
	leftNoEndpoint = "no endpoint in service in this region"
	leftNoneOpen   = "no endpoint open in this region"
	// leftLater means that an endpoint of this region would answer later.
	leftLater = "later in this region"
)

type (
	// distanceMetrics count by distance what a box sends and receives; empty where there are no regions.
	distanceMetrics map[willowwick.Distance]distanceCounters

	// distanceCounters are the counters of one distance.
	distanceCounters struct {
		sends  *metrics.Counter // to endpoints
		bytes  *metrics.Counter // bodies of requests and answers
		gossip *metrics.Counter // bytes exchanged with other boxes
	}

	// countedConn is a connection to another box whose bytes are counted.
	countedConn struct {
		net.Conn
		bytes *metrics.Counter
	}
)

func newDistanceMetrics(set *metrics.Set, topology willowwick.Topology) distanceMetrics {
	m := distanceMetrics{}
	if !topology.HasRegions() {
		return m
	}
	for _, distance := range []willowwick.Distance{willowwick.SameHall, willowwick.SameRegion, willowwick.OtherRegion} {
		m[distance] = distanceCounters{
			sends:  set.NewCounter(fmt.Sprintf("willowwick_sends_by_distance_total{distance=%q}", distance)),
			bytes:  set.NewCounter(fmt.Sprintf("willowwick_request_bytes_total{distance=%q}", distance)),
			gossip: set.NewCounter(fmt.Sprintf("willowwick_gossip_bytes_total{distance=%q}", distance)),
		}
	}
	return m
}

// countSend counts a send to an endpoint and the bytes of its request.
func (m distanceMetrics) countSend(distance willowwick.Distance, bytes int) {
	if counters, isCounted := m[distance]; isCounted {
		counters.sends.Inc()
		counters.bytes.Add(bytes)
	}
}

// countAnswer counts bytes of an answer.
func (m distanceMetrics) countAnswer(distance willowwick.Distance, bytes int) {
	if counters, isCounted := m[distance]; isCounted {
		counters.bytes.Add(bytes)
	}
}

// countGossip counts bytes that are sent to another box.
func (m distanceMetrics) countGossip(distance willowwick.Distance, bytes int) {
	if counters, isCounted := m[distance]; isCounted {
		counters.gossip.Add(bytes)
	}
}

// countConn returns a connection that counts the bytes exchanged with another box.
func (m distanceMetrics) countConn(conn net.Conn, distance willowwick.Distance) net.Conn {
	if counters, isCounted := m[distance]; isCounted {
		return &countedConn{conn, counters.gossip}
	}
	return conn
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(n)
	return n, err
}

// distance returns how far away the endpoint of the send is.
func (s *send) distance() willowwick.Distance {
	return s.router.topology.Distance(s.ticket.Endpoint.Hall)
}

// reasonToLeave returns why a request is sent to an endpoint in another region, leftNowhere if it lies in this one.
func (c *call) reasonToLeave(now time.Time, endpoint willowwick.Endpoint) string {
	topology, pool := c.router.topology, c.router.pool
	if topology.Distance(endpoint.Hall) != willowwick.OtherRegion {
		return leftNowhere
	}
	isNear := func(e willowwick.Endpoint) bool { return topology.Distance(e.Hall) != willowwick.OtherRegion }
	isAllowed := func(e willowwick.Endpoint) bool { return isNear(e) && c.allowsFallback(e) }
	switch {
	case !c.allowsHall(topology.Hall):
		return leftForbidden
	case !pool.HasInService(c.service, isAllowed):
		return leftNoEndpoint
	case !pool.HasOpen(now, c.service, func(e willowwick.Endpoint) bool { return isAllowed(e) && !c.triedEndpoints[e.ID] }):
		return leftNoneOpen
	default:
		return leftLater
	}
}
