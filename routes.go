package willowwick

import "time"

type (
	// RouteID names a declared route of opaque requests.
	RouteID string
	// ReleaseID names a release of an endpoint's software, including its model weights.
	ReleaseID string

	// ServiceShare is the share of a route's requests that goes to a service.
	ServiceShare struct {
		Service ServiceID
		Weight  int
	}

	// Route is a declared host and path prefix whose requests go to one or more services. Boxes send tables and their parts
	// to each other by gob, under these field names.
	Route struct {
		Name       RouteID
		Host       string
		Prefix     string // begins and ends with a slash
		Stream     bool   // answered by a stream of events
		Repeatable bool   // idempotent: may run more than once
		Resumable  bool   // another endpoint can continue a stream after a given event
		MaxRuns    int    // maximum number of endpoints that one request may run on
		Priority   int    // 0 is the most urgent
		Anonymous  bool   // needs no key
		Affinity   bool   // endpoints cache prompts that they have read
		Models     []ModelID
		Regions    []RegionID // requests may be served, cached and stored in these regions only; empty for all
		Split      []ServiceShare
		Timeout    time.Duration // longest time that a request may take, including its wait
		Goal       time.Duration // an answer, or its first event, has its full value within this duration
		GapGoal    time.Duration // longest pause between events of an answer that is on time
	}

	// RoutedService is a service that routes send requests to.
	RoutedService struct {
		Name           ServiceID
		HealthPath     string
		MaxConnections int     // of one endpoint, from all boxes together
		ColdPerSecond  float64 // requests per second that a cold endpoint takes from all boxes together; 0 if unlimited
		Slots          int     // concurrent requests that a runner can run; 0 if not declared
		Prices         map[ModelID]float64
		Autoscaling    *Autoscaling // nil if the fleet doesn't order its endpoints
	}

	// RoutedAccount is a client account as declared with the routes.
	RoutedAccount struct {
		Name     AccountID
		Keys     []string
		Priority int        // overrides the route's; NoPriority if not declared
		Regions  []RegionID // see Route.Regions; a region must be allowed by both
	}

	// RoutingLimits bound the size of a caller's requests and the time that a caller may stay idle.
	RoutingLimits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// RoutingTable is a complete configuration of routes; a higher version replaces a lower one.
	RoutingTable struct {
		Version  uint64
		Routes   []Route
		Services []RoutedService
		Accounts []RoutedAccount
		Limits   RoutingLimits
	}

	// ReleaseState is the state of the roll-out of a release.
	ReleaseState string

	// ReleaseOrder is an operator's order to move a service's requests to a release within a period. Boxes send it and
	// ReleaseStatus to each other by gob, under these field names.
	ReleaseOrder struct {
		Service ServiceID
		Target  ReleaseID
		Period  time.Duration // from the order to its deadline
		At      Position      // of the order in the declarations; a later order replaces an earlier one
	}

	// ReleaseStatus is the state of a roll-out as the fleet has written it to the store.
	ReleaseStatus struct {
		Service ServiceID
		Target  ReleaseID
		State   ReleaseState
	}
)

// NoPriority is the priority of a client account without a declared one.
const NoPriority = -1

// States of a roll-out of a release.
const (
	ReleaseRunning    ReleaseState = "running"
	ReleaseCompleted  ReleaseState = "completed"
	ReleaseRolledBack ReleaseState = "rolled back"
)
