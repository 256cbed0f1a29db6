// Package fleet coordinates the daemons of a fleet: it follows the configuration stream, gossips digests, stores
// claims and session versions on pairs of boxes, replicates usage records to other boxes, and holds the leader lease.
//
// Begin with Node, one daemon as a member of the fleet; its fields are the parts: Follower for the configuration, Table for
// digests, Registry for claims and session versions, Usage for billing, and Lease.
package fleet
