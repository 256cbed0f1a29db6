package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// usageSubject is the subject of all usage reports.
const usageSubject = "usage"

type (
	// DutyFaults are the faults that a DutyAPI injects.
	DutyFaults struct {
		Down           bool          // calls get 503 and have no effect
		Throttled      bool          // calls get 429 and have no effect
		Silent         bool          // calls get no answer and have no effect
		DroppedAnswers int           // calls that get no answer and are executed after LateBy
		LateBy         time.Duration // see DroppedAnswers
		NoSpot         bool          // orders of spot runners get 409
	}

	// DutyCall is a call as its sender made it.
	DutyCall struct {
		Subject string // "usage", or service and hall of an order
		Holder  string // sender's name
		Token   uint64
		Arrived time.Time
		Runners int // ordered number; 0 in usage reports
	}

	// DutyAPI stands in for the platform's API: it takes usage reports and orders of runners from the holder of the duties.
	//
	// It rejects calls whose token is lower than one seen on the subject, when they are executed, and records what holders must
	// never do: share a token on a subject, report a window twice with different counts, or call again within the lease after
	// another holder has called.
	DutyAPI struct {
		lease time.Duration

		mu         sync.Mutex
		faults     DutyFaults
		tokens     map[string]uint64            // highest one seen, by subject
		senders    map[string]map[uint64]string // by subject and token
		executed   []DutyCall
		reports    map[int64]map[string]int
		runners    map[string]int // ordered number by service, hall and kind
		violations []string
	}

	dutyRequest struct {
		Window  int64          `json:"window-id"`
		Counts  map[string]int `json:"counts"`
		Service string         `json:"service"`
		Hall    string         `json:"zone"`
		Desired int            `json:"desired"`
		Spot    bool           `json:"spot"`
	}
)

// NewDutyAPI returns an API; within the lease, no holder may call again after another one has.
func NewDutyAPI(lease time.Duration) *DutyAPI {
	return &DutyAPI{
		lease: lease, tokens: map[string]uint64{}, senders: map[string]map[uint64]string{}, reports: map[int64]map[string]int{},
		runners: map[string]int{},
	}
}

// SetFaults replaces the faults.
func (a *DutyAPI) SetFaults(faults DutyFaults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = faults
}

// Violations describes what holders did that they must never do.
func (a *DutyAPI) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.violations...)
}

// Executed returns the calls that took effect, in their order.
func (a *DutyAPI) Executed() []DutyCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]DutyCall(nil), a.executed...)
}

// Runners returns the number of runners that was ordered last.
func (a *DutyAPI) Runners(service, hall string, spot bool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runners[runnerKey(service, hall, spot)]
}

// Reports returns the reported counts by window.
func (a *DutyAPI) Reports() map[int64]map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.reports)
}

func runnerKey(service, hall string, spot bool) string {
	return fmt.Sprintf("%s/%s/%t", service, hall, spot)
}

// ServeHTTP implements http.Handler.
func (a *DutyAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request dutyRequest
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if err == nil {
		err = json.NewDecoder(io.LimitReader(r.Body, maxAppendBytes)).Decode(&request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := DutyCall{Subject: usageSubject, Holder: r.Header.Get("Lease-Holder"), Token: token, Arrived: time.Now()}
	if r.URL.Path != "/usage" {
		call.Subject, call.Runners = request.Service+"/"+request.Hall, request.Desired
	}
	status, text := a.handle(call, request)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSONStatus(w, status, map[string]string{"error": text})
}

// handle returns the status and the error in the body, or 0 for no answer.
func (a *DutyAPI) handle(call DutyCall, request dutyRequest) (status int, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.faults.Silent:
		return 0, ""
	case a.faults.Down:
		return http.StatusServiceUnavailable, "try later"
	case a.faults.Throttled:
		return http.StatusTooManyRequests, "too many calls"
	}
	a.checkSender(call)
	if a.faults.DroppedAnswers > 0 {
		a.faults.DroppedAnswers--
		time.AfterFunc(a.faults.LateBy, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.execute(call, request)
		})
		return 0, ""
	}
	return a.execute(call, request)
}

// checkSender checks that one holder alone uses a token on a subject, whether the call is executed or not.
func (a *DutyAPI) checkSender(call DutyCall) {
	if a.senders[call.Subject] == nil {
		a.senders[call.Subject] = map[uint64]string{}
	}
	former, used := a.senders[call.Subject][call.Token]
	a.senders[call.Subject][call.Token] = call.Holder
	if used && former != call.Holder {
		a.addViolation("token %d of %s was used by %s and %s", call.Token, call.Subject, former, call.Holder)
	}
}

func (a *DutyAPI) execute(call DutyCall, request dutyRequest) (status int, text string) {
	if call.Token < a.tokens[call.Subject] {
		return http.StatusConflict, "a higher fence was seen"
	}
	a.tokens[call.Subject] = call.Token
	if request.Spot && a.faults.NoSpot {
		return http.StatusConflict, "none to be had"
	}
	a.checkReturn(call)
	a.executed = append(a.executed, call)
	if call.Subject != usageSubject {
		a.runners[runnerKey(request.Service, request.Hall, request.Spot)] = request.Desired
		return http.StatusOK, ""
	}
	if former, reported := a.reports[request.Window]; reported && !maps.Equal(former, request.Counts) {
		a.addViolation("window %d was reported with %v and %v", request.Window, former, request.Counts)
	}
	a.reports[request.Window] = request.Counts
	return http.StatusOK, ""
}

// checkReturn checks that the holder hasn't called within the lease before another one called.
func (a *DutyAPI) checkReturn(call DutyCall) {
	other := ""
	for i := len(a.executed) - 1; i >= 0; i-- {
		former := a.executed[i]
		if call.Arrived.Sub(former.Arrived) > a.lease {
			return
		}
		if former.Holder != call.Holder {
			other = former.Holder
		} else if other != "" {
			a.addViolation("%s called between two calls of %s within the lease", other, call.Holder)
			return
		}
	}
}

func (a *DutyAPI) addViolation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}
