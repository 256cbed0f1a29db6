// Package exchange is the router itself: it takes callers' requests, sends them to endpoints, and relays the answers.
//
// A [Router] authenticates each request, finds its route, chooses a service, release, model and endpoint for it, waits
// for a slot there, retries where the route allows it, and streams the answer as it arrives. It never interprets bodies.
// Begin with router.go, then read call.go (one request, from arrival to its last log line), send.go (one send of it to
// one endpoint) and relay.go (the answer). daemon.go starts a Router with its listeners and background loops.
//
// Each box runs one daemon, and the boxes share what they know. They take it from the store (sync.go, listing.go) and
// from each other (peers.go, gossip.go, digest.go). These terms are used throughout:
//
//   - The reader of a hall is the box that reads the store for all boxes of the hall: the first live one in hub order
//     (KnownBox.precedes) that reaches the store.
//   - The hub of a hall is the box that the others of the hall exchange gossip with: its reader, or the first live box
//     while none reaches the store. Gossip between halls goes through their hubs. See hub.go.
//   - Where the settings name regions, one hub of a region, its gateway, exchanges gossip with the others
//     (region_hub.go), and one reader reads the store for the readers of the region's halls (region_reader.go).
//   - A gossip exchange is one call of the RPC Swap: caller and peer send each other their digests and what the other
//     one lacks, such as a newer configuration or list of endpoints. See gossip.go.
//   - A digest is the state of one box as it reports it to others: versions and ages of its data, counts of answers,
//     roll-outs, and endpoints that are draining. See digest.go.
//   - The roster is the set of known boxes, which boxes compare by a checksum. See roster.go.
//   - The group is the list of members in the store, which the readers of all halls join. One member is the leader, which
//     writes the states of roll-outs. See lead.go.
//   - A duty is a kind of call to the platform's API that one box makes for the whole fleet: the leader of the group,
//     while it holds the lease on the duties. See duties.go, duty_calls.go and package lease.
//   - An era is the time between two restores of the store from a copy (a backup). The copy may lack the last
//     declarations, so boxes keep them for restoreTime while the operator writes them again. See era.go and
//     declared_set.go.
//   - Quarantine keeps poison requests, which crash the endpoints that run them, from being sent again. See poison.go,
//     crash.go and package quarantine.
//   - Usage is the number of requests of each client account that began to run in a window of time. The box that holds
//     the lease on the duties reports it. See usage.go and package usage.
//
// A box that reaches no endpoint (reach.go) passes its callers' requests on to boxes that do (offers.go, pass_on.go).
//
// Further parts are roll-outs of releases (release.go, choice.go, evidence.go), permits for rate-limited endpoints
// (permits.go), orders of runners (autoscale.go, demand.go and package autoscale), the regions in which a request may be
// served (regions.go), requests that leave endpoints which are about to end (departure.go), and UDP datagrams on prompts
// that other boxes have just sent (hints.go).
package exchange
