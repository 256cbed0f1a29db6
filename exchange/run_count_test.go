package exchange

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a request that runs at more endpoints than its route allows, since a box that takes it from another one counts its runs
// anew.
func TestRunsOfARequestCountAcrossBoxes(t *testing.T) {
	c := newCutSite(t, 1)
	reply := c.doCutOff(t, "/again/", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	assert.Equal(t, http.StatusInternalServerError, reply.status)
	assert.Equal(t, retryRoute().MaxRuns, c.runsOf("id"))
}

// Guards against a request that may run once and runs twice, since the box that takes it from another one drops an answer of low confidence.
func TestARequestThatMayRunOnceIsNotSentToTheLargeModelByAnotherBox(t *testing.T) {
	c := newCutSite(t, 1)
	c.cutOffNow(t)
	c.handleAll(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("T-Confidence", "5")
		_, _ = io.WriteString(w, "id: 1\ndata: "+request.Header.Get("T-Model")+"\n\n")
	})
	plain, stream := onceRoute(), streamRoute()
	plain.MaxRuns, plain.Models = 2, stream.Models
	stream.Repeatable, stream.Resumable = false, false
	for _, each := range []*site{c.site, c.others[0]} {
		each.daemon.router.setTable(testTable(2, plain, stream), "test")
		for range 20 {
			each.daemon.router.retryBudget("work").Request(time.Now())
		}
	}
	for _, path := range []string{plain.Prefix, stream.Prefix} {
		reply := c.do(t, http.MethodPost, path, path, "x", "T-Model", anyModel)
		require.Equal(t, http.StatusOK, reply.status, reply.body)
		assert.Equal(t, "id: 1\ndata: small\n\n", reply.body)
		assert.Equal(t, 1, c.runsOf(path), path)
	}
}
