package exchange

import (
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// slowLinkMbps is the bandwidth of a small box's link, and slowLinkBody the size of a request on it.
	slowLinkMbps = 10
	slowLinkBody = 12 << 10
	// usualPerSecond is what its callers send before most of a hall's new connections go to it, and floodPerSecond afterwards.
	usualPerSecond = 10
	floodPerSecond = 300
	// floodGrace is the time after which it must serve minFloodShare of what it reads as well as before.
	floodGrace    = 3 * time.Second
	minFloodShare = 0.75
	// floodAnswerTime is the time in which an answer serves its caller.
	floodAnswerTime = time.Second
)

type (
	// slowLinkListener accepts connections whose bytes share one link.
	slowLinkListener struct {
		net.Listener
		link *sharedLink
	}

	// slowLinkConn is one of them.
	slowLinkConn struct {
		net.Conn
		link *sharedLink
	}

	// sharedLink lets bytes through at its bandwidth.
	sharedLink struct {
		mu     sync.Mutex
		freeAt time.Time
	}

	// attempt is what became of one request.
	attempt struct {
		at, end            time.Time
		isServed, isUnread bool
	}
)

func (l *slowLinkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowLinkConn{conn, l.link}, nil
}

func (c *slowLinkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 4<<10)])
	c.link.transfer(n)
	return n, err
}

// transfer waits until the link has carried the bytes, behind those of others.
func (l *sharedLink) transfer(bytes int) {
	l.mu.Lock()
	now := time.Now()
	l.freeAt = latest(l.freeAt, now).Add(time.Duration(bytes) * time.Second / (slowLinkMbps * 1e6 / 8))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// tryOnce sends a request once.
func (s *site) tryOnce(t *testing.T, client *http.Client, id, body string) attempt {
	a := attempt{at: time.Now()}
	response, err := client.Do(s.request(t, http.MethodPost, "/once/", id, body))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	a.end = time.Now()
	a.isServed = err == nil && response.StatusCode == http.StatusOK && a.end.Sub(a.at) < floodAnswerTime
	var timeout net.Error
	a.isUnread = err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
	return a
}

// sendAttempts sends requests at a rate, and returns what became of them.
func (s *site) sendAttempts(t *testing.T, keepsConns bool, perSecond int, duration time.Duration) []attempt {
	transport := &http.Transport{DisableKeepAlives: !keepsConns, MaxIdleConnsPerHost: floodPerSecond}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * time.Second}
	body := make([]byte, slowLinkBody)
	_, _ = rand.Read(body)
	var (
		mu       sync.Mutex
		attempts []attempt
		callers  sync.WaitGroup
	)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i, begin := 0, time.Now(); time.Since(begin) < duration; i++ {
		<-ticker.C
		callers.Go(func() {
			a := s.tryOnce(t, client, fmt.Sprint(perSecond, "-", i), string(body))
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, a)
		})
	}
	callers.Wait()
	return attempts
}

// Guards against a box that gets most new connections of a hall reading more than its link carries, so that all its requests are
// late: what it can't read in time it must close unread, at once, since its callers then reach other boxes.
func TestBoxThatGetsMostNewConnectionsServesWhatItReads(t *testing.T) {
	for name, keepsConns := range map[string]bool{"a connection for each request": false, "kept connections": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			settings := testSettings()
			settings.LinkMbps = slowLinkMbps
			control := newTestControl(testTable(1, onceRoute()), newRunner(t, "r1", answerText("ok")).endpoint("v1"))
			s := startSiteOn(t, control, settings, nil, &slowLinkListener{listen(t), &sharedLink{}})
			for _, a := range s.sendAttempts(t, keepsConns, usualPerSecond, 2*time.Second) {
				assert.True(t, a.isServed)
			}
			s.requireServesWhatItReads(t, keepsConns)
		})
	}
}

// requireServesWhatItReads sends more than the link carries.
func (s *site) requireServesWhatItReads(t *testing.T, keepsConns bool) {
	begin := time.Now()
	attempts := s.sendAttempts(t, keepsConns, floodPerSecond, floodGrace+4*time.Second)
	read, served, lastServed := 0, 0, begin.Add(floodGrace)
	for _, a := range attempts {
		switch {
		case a.at.Before(begin.Add(floodGrace)):
		case a.isUnread:
			assert.Less(t, a.end.Sub(a.at), 500*time.Millisecond, "closed unread at once")
		default:
			read++
			if a.isServed {
				served++
				lastServed = latest(lastServed, a.end)
			}
		}
	}
	t.Logf("%d sent, %d read, %d served", len(attempts), read, served)
	assert.GreaterOrEqual(t, float64(served), minFloodShare*float64(read))
	assert.Greater(t, served, 50, "it goes on taking what its link carries")
	assert.Greater(t, lastServed.Sub(begin), floodGrace+3*time.Second)
}

// Guards against callers with kept connections staying at a box whose link they use up.
func TestCallersLeaveABoxWhoseLinkIsUsedUp(t *testing.T) {
	settings := testSettings()
	settings.LinkMbps = 1
	s := startSite(t, newTestControl(testTable(1, onceRoute()), newRunner(t, "r1", answerText("ok")).endpoint("v1")), settings)
	client := &http.Client{Transport: &http.Transport{}, Timeout: waitTimeout}
	defer client.CloseIdleConnections()
	for i, wantClose := range []bool{false, true} {
		response, err := client.Do(s.request(t, http.MethodPost, "/once/", fmt.Sprint("link-", i), strings.Repeat("x", 200<<10)))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		assert.NoError(t, response.Body.Close())
		assert.Equal(t, wantClose, response.Close, "request %d", i)
	}
}
