package exchange

import (
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

// table is a configuration with its indexes; it is immutable.
type table struct {
	*willowwick.RoutingTable
	hosts    map[string][]*willowwick.Route       // by lower-case host; longest prefix first
	accounts map[string]*willowwick.RoutedAccount // by key
	packed   func() []byte                        // for other boxes; computed on first use
	// restrictsRegions is true if a route or a client account names allowed regions.
	restrictsRegions bool
}

func newTable(declared *willowwick.RoutingTable) *table {
	t := &table{
		RoutingTable: declared,
		hosts:        map[string][]*willowwick.Route{},
		accounts:     map[string]*willowwick.RoutedAccount{},
		packed:       sync.OnceValue(func() []byte { return packTable(declared) }),
	}
	for i := range declared.Routes {
		route := &declared.Routes[i]
		t.restrictsRegions = t.restrictsRegions || len(route.Regions) > 0
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range declared.Accounts {
		account := &declared.Accounts[i]
		t.restrictsRegions = t.restrictsRegions || len(account.Regions) > 0
		for _, key := range account.Keys {
			t.accounts[key] = account
		}
	}
	return t
}

// findRoute returns the route with the longest prefix of the path, or nil.
func (t *table) findRoute(host, path string) *willowwick.Route {
	host = strings.ToLower(host)
	routes, known := t.hosts[host]
	if !known {
		name, _, _ := strings.Cut(host, ":")
		routes = t.hosts[name]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// chooseService chooses among the services of the route by their weights; equal texts get equal services.
func (t *table) chooseService(route *willowwick.Route, text string) willowwick.ServiceID {
	total := 0
	for _, share := range route.Split {
		total += share.Weight
	}
	if total <= 0 {
		return route.Split[0].Service
	}
	at := int(xxhash.Sum64String(text) % uint64(total))
	for _, share := range route.Split {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return route.Split[len(route.Split)-1].Service
}

// requestPriority returns the priority of a request; the client account's takes precedence over the route's.
func requestPriority(route *willowwick.Route, account *willowwick.RoutedAccount) int {
	if account != nil && account.Priority != willowwick.NoPriority {
		return account.Priority
	}
	return route.Priority
}
