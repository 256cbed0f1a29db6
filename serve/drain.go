package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/wire"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// idleBeforeClose is how long a caller's connection must be idle before it is closed at a planned stop; one that is in use
	// gets its next request sooner.
	idleBeforeClose = 200 * time.Millisecond
	// lastAnswersTime is how long before a planned stop must end calls in progress end, for their answers to be written and
	// their usage to be handed over; it is at most lastAnswersShare of the whole.
	lastAnswersTime  = 2 * time.Second
	lastAnswersShare = 0.25
	// hurriedStopTime bounds a planned stop from a second signal on, for answers to be written and usage to be handed over.
	hurriedStopTime = time.Second
	// leaveTimeout bounds the hand-over of claims and lease.
	leaveTimeout = 4 * time.Second
)

// connTracker tracks the callers' HTTP/1 connections with an accepted request until the last byte of the answer is written.
//
// Running handlers don't show this: a handler returns before its last bytes are written.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// trackConns adds the connections of accepted requests to the tracker. Once the box refuses new requests, it adds none and
// asks callers to open another connection for their next request.
func (d *Daemon) trackConns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := wire.CallerConn(r)
		// An HTTP/2 connection carries several requests, and Server.Shutdown waits for each of them.
		if ok && r.ProtoMajor == 1 && !d.isRefusing() {
			d.activeConns.add(conn)
		}
		if d.isRefusing() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (a *connTracker) add(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns == nil {
		a.conns = map[net.Conn]bool{}
	}
	a.conns[conn] = true
}

// onStateChange is the server's ConnState hook; it is called with one of these states once the answer is written.
func (a *connTracker) onStateChange(conn net.Conn, state http.ConnState) {
	if state != http.StateIdle && state != http.StateClosed && state != http.StateHijacked {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, conn)
}

func (a *connTracker) count() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.conns))
}

// Drain prepares a planned stop: it reports not ready, then refuses new requests,
// then finishes answers and hands over usage records. It returns when the daemon
// may be stopped. Calls that take too long are ended shortly before, and so are all calls once hurry is done, as at a second signal:
// their callers get an answer, and Drain returns within hurriedStopTime.
func (d *Daemon) Drain(hurry context.Context) error {
	timeout := d.settings.DrainTimeout
	ctx, cancel := clock.WithDeadline(context.WithoutCancel(hurry), clock.Now().Add(timeout))
	defer cancel()
	unhurried, stopPreparing := context.WithCancel(ctx)
	defer context.AfterFunc(hurry, func() {
		stopPreparing()
		d.endCalls()
		time.AfterFunc(hurriedStopTime, cancel)
	})()
	margin := min(lastAnswersTime, time.Duration(lastAnswersShare*float64(timeout)))
	defer time.AfterFunc(timeout-margin, d.endCalls).Stop()
	slog.Info("planned stop began", "box", d.settings.Box)
	d.notReady.Store(true)
	d.leaveFleet(unhurried)
	pause(unhurried, d.settings.DrainDelay)
	d.refusing.Store(true)
	return d.finish(ctx)
}

// finish waits for the answers in progress, hands over the usage records and closes the callers' connections.
func (d *Daemon) finish(ctx context.Context) error {
	if err := awaitAnswers(ctx, d.inFlight.Load); err != nil {
		return err
	}
	// All usage is recorded by now, so the hand-over needn't wait for callers that read their answers slowly.
	isHandedOver := d.node.Usage.HandOver(ctx)
	if err := awaitAnswers(ctx, d.activeConns.count); err != nil {
		return err
	}
	d.closeCallers(ctx)
	if !isHandedOver {
		return errors.New("neither another box nor the log accepted the usage records")
	}
	slog.Info("planned stop ended", "box", d.settings.Box)
	return nil
}

// closeCallers closes the callers' listener, and each connection once no request has arrived on it for idleBeforeClose;
// requests that arrive meanwhile are refused.
func (d *Daemon) closeCallers(ctx context.Context) {
	pause(ctx, idleBeforeClose)
	if err := d.callerConns.Close(); err != nil {
		slog.Debug("closing the listener for callers failed", "error", err)
	}
	if left := d.callerConns.Retire(ctx, idleBeforeClose); left > 0 {
		slog.Info("connections of callers were still open after draining", "connections", left)
	}
	if err := d.callers.Shutdown(ctx); err != nil {
		slog.Debug("shutting down the server for callers failed", "error", err)
	}
}

// awaitAnswers waits until no answer is in progress or the context is done.
func awaitAnswers(ctx context.Context, inProgress func() int64) error {
	for inProgress() > 0 && ctx.Err() == nil {
		pause(ctx, drainPollInterval)
	}
	if left := inProgress(); left > 0 {
		return errors.Errorf("%d answers were still in progress when draining ended", left)
	}
	return nil
}

// leaveFleet hands over the claims and the lease within leaveTimeout, while the log is available.
func (d *Daemon) leaveFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.node.Drain(ctx)
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
