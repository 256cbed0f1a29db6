package exchange

import (
	"context"
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
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/standin"
	"github.com/willowwick/willowwick/wire"
)

const (
	fullLinkMbps      = 10
	fullLinkPerSecond = 600
	// fullLinkAnswer is the size of an answer in bytes, and fullLinkWork the time that it takes.
	fullLinkAnswer = 2 << 10
	fullLinkWork   = 50 * time.Millisecond
	fullLinkTime   = 4 * time.Second
)

// fullLinkBodies are sizes of requests in bytes.
var fullLinkBodies = []int{800, 2400, 12000, 2400, 600, 2400, 0, 2400}

// fullLink is a site that reaches its callers and its endpoints over one narrow link alone.
type fullLink struct {
	*site
	link    *standin.NarrowLink
	address string // of the site, over the link
	client  *http.Client
}

func newFullLink(t *testing.T, declaredMbps int) *fullLink {
	f := &fullLink{link: standin.NewNarrowLink(fullLinkMbps), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}}
	answer := strings.Repeat("x", fullLinkAnswer)
	var endpoints []willowwick.Endpoint
	for i := range 8 {
		endpoint := newRunner(t, fmt.Sprint("r", i), func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(fullLinkWork)
			_, _ = io.WriteString(w, answer)
		}).endpoint("v1")
		endpoint.Slots = 64
		endpoints = append(endpoints, endpoint)
	}
	listener, err := wire.Listen("127.0.0.1:0")
	require.NoError(t, err)
	settings := testSettings()
	settings.LinkMbps = declaredMbps
	f.site = startSiteOn(t, newTestControl(testTable(1, onceRoute()), endpoints...), settings, f.link.Dial, listener)
	var closeProxy func() error
	f.address, closeProxy, err = f.link.ServeBox(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = closeProxy() })
	return f
}

// try sends one request over the link.
func (f *fullLink) try(t *testing.T, id string, body []byte) (isRead, isServed bool) {
	r := f.request(t, http.MethodPost, "/once/", id, string(body))
	r.URL.Host = f.address
	response, err := f.client.Do(r.WithContext(context.Background()))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return true, err == nil && response.StatusCode == http.StatusOK
	}
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout(), false
}

// flood sends many requests and returns how many of those were read and served that were sent from floodGrace on.
func (f *fullLink) flood(t *testing.T) (read, served int) {
	body := make([]byte, 12000)
	_, _ = rand.Read(body)
	var (
		mu      sync.Mutex
		callers sync.WaitGroup
	)
	begin := time.Now()
	for i := range int((floodGrace + fullLinkTime).Seconds() * fullLinkPerSecond) {
		at := begin.Add(time.Duration(i) * time.Second / fullLinkPerSecond)
		time.Sleep(time.Until(at))
		callers.Go(func() {
			isRead, isServed := f.try(t, fmt.Sprint("full-", i), body[:fullLinkBodies[i%len(fullLinkBodies)]])
			mu.Lock()
			defer mu.Unlock()
			if at.Sub(begin) < floodGrace {
				return
			}
			if isRead {
				read++
			}
			if isServed {
				served++
			}
		})
	}
	callers.Wait()
	return read, served
}

// Guards against a box reading far more than its link carries where the settings name no bandwidth, or one that isn't so: the first
// bytes of a connection arrive with it, however long they have waited in the link.
func TestBoxWithAFullLinkServesWhatItReads(t *testing.T) {
	for _, declaredMbps := range []int{0, 10 * fullLinkMbps, fullLinkMbps} {
		t.Run(fmt.Sprint(declaredMbps, " Mbit per s declared"), func(t *testing.T) {
			f := newFullLink(t, declaredMbps)
			read, served := f.flood(t)
			t.Logf("%d read, %d served; longest wait in the link %s; it carried %s", read, served, f.link.LongestWait().Round(time.Millisecond), f.link.Carried())
			assert.GreaterOrEqual(t, float64(served), minFloodShare*float64(read))
			assert.Greater(t, served, 100, "it goes on taking what its link carries")
		})
	}
}
