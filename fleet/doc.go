// Package fleet coordinates the daemons of a fleet: it follows the configuration stream, gossips digests, stores
// claims and session versions on pairs of boxes, replicates usage records to other boxes, and holds the leader lease.
package fleet
