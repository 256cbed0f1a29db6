package exchange

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/standin"
)

const (
	// goodFields are the fields of a good answer of a rawEndpoint, for which %s is the request's ID.
	goodFields = "T-Id: %s\r\nT-Seal: raw\r\n"
	// goodAnswer is an answer after which the connection ends.
	goodAnswer = "HTTP/1.1 200 OK\r\n" + goodFields + "Connection: close\r\nContent-Length: 2\r\n\r\nok"
	// brokenAnswer is an answer that HTTP doesn't allow.
	brokenAnswer = "HTTP/1.1 200 OK\r\n" + goodFields + "X Foo: b\r\nContent-Length: 6\r\n\r\ntheirs"
)

// runsWith returns the answer of a rawEndpoint that runs the request and writes a text, for whose %s it writes the request's ID.
func runsWith(text string) func(*rawEndpoint, rawTry) {
	return func(r *rawEndpoint, try rawTry) {
		r.run(try)
		_, _ = try.conn.Write([]byte(strings.ReplaceAll(text, "%s", try.id)))
		_ = try.conn.Close()
	}
}

// requireNoneBelieved sends a request of each kind of route to endpoints with one broken answer each, and requires that no caller gets any of
// it.
func requireNoneBelieved(t *testing.T, answers []standin.BrokenAnswer) {
	for _, answer := range answers {
		t.Run(answer.Name, func(t *testing.T) {
			t.Parallel()
			r := newRawEndpoint(t, runsWith(answer.Text))
			s := newSite(t, r.endpoint())
			for path, runs := range map[string]int{"/once/": 1, "/again/": 2, "/stream/": 3} {
				id := "id-" + strings.Trim(path, "/")
				reply := s.do(t, http.MethodPost, path, id, "x", "T-Model", anyModel)
				require.NoError(t, reply.err, path)
				assert.Equal(t, http.StatusBadGateway, reply.status, path)
				assert.NotContains(t, reply.body, "theirs", path)
				assert.NotContains(t, reply.body, "inner", path)
				assert.NotContains(t, fmt.Sprint(reply.header), "raw", path)
				assert.LessOrEqual(t, r.runsOf(id), runs, path)
			}
			assert.Equal(t, 1, r.runsOf("id-once"))
		})
	}
}

// Guards against answers whose status is none: the caller got them, or what stood in their bodies, as its answer.
func TestAnswerWithABrokenStatusLineIsNoAnswer(t *testing.T) {
	requireNoneBelieved(t, standin.BrokenStatusLines(goodFields))
}

// Guards against answers with a field that HTTP doesn't allow: the caller got them without the field, or with a body that is not the
// endpoint's since the field would have said where it ends.
func TestAnswerWithABrokenFieldIsNoAnswer(t *testing.T) {
	requireNoneBelieved(t, standin.BrokenFields(goodFields))
}

// Guards against answers whose heads don't tell where their bodies end, and against the text of a refusal that quotes such a head.
func TestAnswerWithBrokenFramingIsNoAnswer(t *testing.T) {
	requireNoneBelieved(t, standin.BrokenFramings(goodFields))
}

// The connection of a broken answer is closed at once, and carries no other request.
func TestConnectionOfABrokenAnswerIsClosed(t *testing.T) {
	ended := make(chan error, 1)
	r := newRawEndpoint(t, func(_ *rawEndpoint, try rawTry) {
		try.write(brokenAnswer, try.id)
		_, err := try.conn.Read(make([]byte, 1))
		ended <- err
	})
	s := newSite(t, r.endpoint())
	for range 3 {
		assert.Equal(t, http.StatusBadGateway, s.do(t, http.MethodPost, "/once/", "id", "x").status)
		select {
		case err := <-ended:
			assert.Error(t, err, "another request")
		case <-time.After(waitTimeout):
			require.Fail(t, "the connection is open")
		}
	}
}

// Guards against the loss of good answers whose heads have unusual parts.
func TestAnswerWithUnusualPartsIsServed(t *testing.T) {
	const seal, end = "T-Id: %s\r\nT-Seal: raw\r\nConnection: close\r\n", "Content-Length: 6\r\n\r\ntheirs"
	for name, answer := range map[string]string{
		"an empty value":        "HTTP/1.1 200 OK\r\n" + seal + "X-Own:\r\n" + end,
		"blanks around a value": "HTTP/1.1 200 OK\r\n" + seal + "X-Own: \t kept\t \r\n" + end,
		"bytes over 0x7f":       "HTTP/1.1 200 \xe9t\xe9\r\n" + seal + "X-Own: caf\xe9\r\n" + end,
		"a tab in a value":      "HTTP/1.1 200 O\tK\r\n" + seal + "X-Own: a\tb\r\n" + end,
		"all bytes of a name":   "HTTP/1.1 200 OK\r\n" + seal + "!#$%&'*+-.^_`|~09aZ: kept\r\n" + end,
		"no reason":             "HTTP/1.1 200\r\n" + seal + end,
		"an empty reason":       "HTTP/1.1 200 \r\n" + seal + end,
		"lines without CR":      "HTTP/1.1 200 OK\n" + strings.ReplaceAll(seal+end, "\r", ""),
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\n" + seal + end,
		"HTTP/1.9":              "HTTP/1.9 200 OK\r\n" + seal + end,
		"informational before":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 \r\n\r\nHTTP/1.1 200 OK\r\n" + seal + end,
		"chunks":                "HTTP/1.1 200 OK\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n",
		"a trailer with a blank in its name": "HTTP/1.1 200 OK\r\n" + seal +
			"Transfer-Encoding: chunked\r\n\r\n6\r\ntheirs\r\n0\r\nX Foo: dropped\r\n\r\n", // recipients may drop trailers
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, newRawEndpoint(t, runsWith(answer)).endpoint())
			for _, path := range []string{"/once/", "/again/"} {
				reply := s.do(t, http.MethodPost, path, "id", "x")
				require.NoError(t, reply.err)
				assert.Equal(t, http.StatusOK, reply.status)
				assert.Equal(t, "theirs", reply.body)
				assert.NotContains(t, fmt.Sprint(reply.header), "dropped")
			}
		})
	}
	for _, status := range []int{200, 204, 299, 304, 404, 499, 599} {
		s := newSite(t, newRawEndpoint(t, func(_ *rawEndpoint, try rawTry) { try.writeOwn(status) }).endpoint())
		assert.Equal(t, status, s.do(t, http.MethodPost, "/once/", "id", "x").status)
	}
}

// A request that may run again goes to another endpoint after a broken answer, also in the middle of a stream.
func TestRequestGoesElsewhereAfterABrokenAnswer(t *testing.T) {
	const streamHead = "HTTP/1.1 200 OK\r\n" + goodFields + "Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n"
	for _, play := range []struct {
		name, path string
		answers    []string // to the first tries
	}{
		{"plain", "/again/", []string{brokenAnswer}},
		{"stream", "/stream/", []string{brokenAnswer}},
		{"resumed stream", "/stream/", []string{fmt.Sprintf(strings.Replace(streamHead, "%s", "%%s", 1), 1000) + events(2), brokenAnswer}},
		{"second model", "/stream/", []string{
			"HTTP/1.1 200 OK\r\n" + goodFields + "T-Confidence: 0\r\nContent-Length: 0\r\n\r\n", brokenAnswer,
		}},
	} {
		t.Run(play.name, func(t *testing.T) {
			t.Parallel()
			r := newRawEndpoint(t, func(r *rawEndpoint, try rawTry) {
				if try.try <= len(play.answers) {
					runsWith(play.answers[try.try-1])(r, try)
					return
				}
				rest := strings.TrimPrefix(events(5), events(try.from))
				runsWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: raw\r\nT-Confidence: 100\r\nContent-Length: %d\r\n\r\n%s", try.id, len(rest), rest))(r, try)
			})
			others := []willowwick.Endpoint{r.endpoint(), r.endpoint(), r.endpoint()}
			for i := range others {
				others[i].ID = willowwick.EndpointID(fmt.Sprint("raw-", i))
			}
			s := newSite(t, others...)
			reply := s.do(t, http.MethodPost, play.path, "id", "x", "T-Model", anyModel)
			require.NoError(t, reply.err)
			assert.Equal(t, http.StatusOK, reply.status)
			assert.Equal(t, events(5), reply.body)
			assert.Equal(t, len(play.answers)+1, r.runsOf("id"))
		})
	}
}

// A stream that has begun is broken off visibly if no endpoint has its rest.
func TestStreamWhoseRestIsBrokenDoesNotLookComplete(t *testing.T) {
	r := newRawEndpoint(t, func(r *rawEndpoint, try rawTry) {
		if try.try > 1 {
			runsWith(brokenAnswer)(r, try)
			return
		}
		runsWith("HTTP/1.1 200 OK\r\n"+goodFields+"Content-Length: 1000\r\n\r\n"+events(2))(r, try)
	})
	s := newSite(t, r.endpoint())
	reply := s.do(t, http.MethodPost, "/stream/", "id", "x")
	assert.Equal(t, events(2), reply.body)
	assert.Error(t, reply.err)
}

// Guards against a broken answer of a box that a request was passed on to, also one that says that nothing has run.
func TestBrokenAnswerOfAnotherBoxIsNoAnswer(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	fields := goodFields + headerNotTaken + ": 1\r\n"
	for _, answer := range standin.BrokenAnswers(fields) {
		box := newRawEndpoint(t, runsWith(answer.Text))
		for path, isLast := range map[string]bool{"/once/": true, "/again/": false, "/stream/": false} {
			c, recorder := s.newCall(t, path, "id")
			p := &passage{call: c, target: target{reply: OfferReply{Address: box.address}}}
			assert.Equal(t, isLast, p.isLast(p.do()), "%s: %s", answer.Name, path)
			assert.Equal(t, 1, c.out.runs, "%s: %s", answer.Name, path)
			if isLast {
				assert.Equal(t, http.StatusBadGateway, recorder.Code, answer.Name)
			}
		}
	}
}

// Nothing that stands in a broken head is believed: no promise, no notice, no load, no limit.
func TestNothingInABrokenHeadIsBelieved(t *testing.T) {
	const said = goodFields + "T-Not-Run: 1\r\nT-Leaving: 1\r\nT-Limit: 1;w=1000\r\nT-Rejections: 1;w=1000\r\nT-Rest: 60\r\nT-Load: 900,900,1\r\n"
	for _, answer := range standin.BrokenAnswers(said) {
		t.Run(answer.Name, func(t *testing.T) {
			t.Parallel()
			r := newRawEndpoint(t, func(r *rawEndpoint, try rawTry) {
				if try.id == "broken" {
					runsWith(answer.Text)(r, try)
					return
				}
				runsWith(goodAnswer)(r, try)
			})
			s := newSite(t, r.endpoint())
			assert.Equal(t, http.StatusBadGateway, s.do(t, http.MethodPost, "/once/", "broken", "x").status)
			assert.Equal(t, 1, r.runsOf("broken"))
			x := s.daemon.router
			assert.False(t, x.pool.IsDraining("raw"))
			assert.False(t, x.isLimited(time.Now(), r.endpoint()))
			for n := range 5 {
				assert.Equal(t, http.StatusOK, s.do(t, http.MethodPost, "/once/", fmt.Sprint("good-", n), "x").status)
			}
		})
	}
}

// A broken answer doesn't clear a request that is suspected of crashing endpoints; a good one does.
func TestBrokenAnswerClearsNoSuspect(t *testing.T) {
	good := standin.BrokenAnswer{Name: "a good answer", Text: goodAnswer}
	for _, answer := range append(standin.BrokenAnswers(goodFields), good) {
		s := newSite(t, newRawEndpoint(t, runsWith(answer.Text)).endpoint())
		suspect, _ := s.newCall(t, "/once/", "id")
		poison := s.daemon.router.poison
		for n := range quarantine.RefuseAfterCrashes {
			if n == quarantine.RefuseAfterCrashes-1 {
				status := s.do(t, http.MethodPost, "/once/", "id", "x").status
				assert.Equal(t, answer == good, status == http.StatusOK, answer.Name)
			}
			crash := willowwick.EndpointCrash{Endpoint: willowwick.EndpointID(fmt.Sprint("other-", n)), Release: "v1", At: time.Now()}
			poison.RecordCrash(suspect.describePoison(), crash)
		}
		assert.Equal(t, answer != good, poison.Refuses(suspect.fingerprint()), answer.Name)
	}
}

// A broken answer to a request whose body its endpoint hasn't read is one at once, and its connection is closed.
func TestBrokenAnswerBeforeALargeBodyIsRead(t *testing.T) {
	const size = 256 << 10 // in bytes; a body of that size is written while the answer is read
	for _, broken := range standin.BrokenAnswers(goodFields) {
		t.Run(broken.Name, func(t *testing.T) {
			listener, replied, ended := listen(t), make(chan struct{}), make(chan struct{})
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				defer close(ended)
				conn := acceptRequest(listener)
				if conn == nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = conn.Write([]byte(strings.ReplaceAll(broken.Text, "%s", "id")))
				<-replied
				_, _ = io.Copy(io.Discard, conn)
			}()
			s := newSite(t, (&rawEndpoint{address: listener.Addr().String()}).endpoint())
			reply := s.do(t, http.MethodPost, "/once/", "id", strings.Repeat("x", size))
			close(replied)
			require.NoError(t, reply.err)
			assert.Equal(t, http.StatusBadGateway, reply.status)
			select {
			case <-ended:
			case <-time.After(waitTimeout):
				require.Fail(t, "the connection is open")
			}
		})
	}
}

// acceptRequest returns the first connection on which the head of a request arrives, whose body is not read; it is nil if the listener ends.
// Other connections, such as those of a box that checks whether anything listens, are closed.
func acceptRequest(listener net.Listener) net.Conn {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return nil
		}
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
			return conn
		}
		_ = conn.Close()
	}
}

// A log line names the rule, is short, and holds no byte that a terminal would obey.
func TestLogLineOfABrokenHead(t *testing.T) {
	var log logBuffer
	old := slog.Default()
	defer slog.SetDefault(old)
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	r := newRawEndpoint(t, runsWith("HTTP/1.1 200 OK\r\n"+goodFields+strings.Repeat("long", 5000)+"\x1b[2J\xe9: secret\r\n\r\n"))
	s := newSite(t, r.endpoint())
	assert.Equal(t, http.StatusBadGateway, s.do(t, http.MethodPost, "/once/", "id", "x").status)
	s.stop()
	lines := 0
	for line := range strings.Lines(log.text()) {
		if !strings.Contains(line, "the name of a field isn't a token") {
			continue
		}
		lines++
		assert.Less(t, len(line), 800)
		assert.NotContains(t, line, "secret")
		assert.NotContains(t, strings.TrimSuffix(line, "\n"), "\x1b")
		assert.Equal(t, line, strings.ToValidUTF8(line, ""))
	}
	assert.Positive(t, lines)
}

// Guards against a release whose answers are broken passing for a good one: they were no evidence against it.
func TestReleaseWhoseAnswersAreBrokenIsRolledBack(t *testing.T) {
	for name, answer := range map[string]string{"name": brokenAnswer, "length": standin.BrokenFramings(goodFields)[0].Text} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireRolledBack(t, answer)
		})
	}
}

// requireRolledBack requires that a release with one answer is rolled back.
func requireRolledBack(t *testing.T, answer string) {
	good := newRunner(t, "r1", answerText("ok"))
	bad := newRawEndpoint(t, runsWith(answer)).endpoint()
	bad.Release = "v2"
	control := newTestControl(testTable(1, onceRoute()), good.endpoint("v1"), bad)
	s := startSite(t, control, testSettings())
	require.Eventually(t, s.daemon.router.sync.isRolloutLeader, waitTimeout, time.Millisecond)
	control.change(func() { control.orders = []willowwick.ReleaseOrder{orderOf("v2", 1)} })
	written := func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		return len(control.written) > 0 && control.written[len(control.written)-1].State == willowwick.ReleaseRolledBack
	}
	deadline := time.Now().Add(waitTimeout)
	for n := 0; time.Now().Before(deadline) && !written(); n++ {
		s.do(t, http.MethodPost, "/once/", fmt.Sprint("id-", n), "x")
	}
	require.True(t, written())
}

// Guards against an endpoint whose answers are broken passing for one that is not reached, from which a box may conclude that it is cut off.
func TestEndpointWithABrokenAnswerIsReached(t *testing.T) {
	for _, answer := range append(standin.BrokenFramings(goodFields), standin.BrokenAnswer{Name: "a blank in a name", Text: brokenAnswer}) {
		s := newSite(t, newRawEndpoint(t, runsWith(answer.Text)).endpoint())
		assert.Equal(t, http.StatusBadGateway, s.do(t, http.MethodPost, "/once/", "id", "x").status)
		reach := s.daemon.router.reach
		reach.mu.Lock()
		assert.Empty(t, reach.misses, answer.Name)
		reach.mu.Unlock()
	}
}
