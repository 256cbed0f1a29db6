// Package lab plays the scripted cases of the review: it starts the project's daemons as processes, with stand-ins of the platform,
// its endpoints and its callers, all at loopback addresses. It is a test binary whose arguments name the case.
package lab

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripted cases by name. Each returns what it saw that breaks the rule.
var cases = map[string]func(*site) []string{
	"taken-away": playTakenAway,
	"leaving":    playLeaving,
	"unsure":     playUnsure,
	"spoilt":     playSpoilt,
	"stopped":    playStopped,
}

func init() {
	// The processes end with the thread that has started them; the main one lives as long as this process.
	runtime.LockOSThread()
}

// TestMain plays the case that the arguments name; there are no other tests.
func TestMain(*testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "endpoint" {
		if err := serveEndpoint(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE WILLOWWICKD RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, daemon, recordPath string) (code int) {
	s, err := newSite(daemon, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	var isStopped atomic.Bool
	defer func() {
		failure := recover()
		if isStopped.Load() {
			select {}
		}
		if failure != nil {
			s.note("the case could not run: %v", failure)
			code = exitFailed
		}
		s.close()
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		isStopped.Store(true) // what comes of the end of the processes is not the case's
		s.note("the case was stopped")
		s.close()
		os.Exit(exitFailed)
	}()
	s.note("case %s, trouble %t", name, s.hasTrouble)
	broken := cases[name](s)
	if isStopped.Load() {
		select {} // until the goroutine above has ended all processes
	}
	require(s.failed == "", "%s", s.failed)
	for _, line := range broken {
		s.note("BROKEN %s", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	s.note("the rule held")
	return exitHeld
}
