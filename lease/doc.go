// Package lease decides when a box may make the calls of the fleet's duties, and under which fencing token.
//
// [Lease] is the state of one box. The leader of the group in the store is the candidate: it reads the topic of the duties,
// writes a grant if the newest one isn't its own, and may then call until its membership of the group could have expired. A
// call without an answer makes its token unusable on its subject, so that a late execution can't follow a newer call.
// [Pace] keeps the calls within the API's rate limit.
//
// The package makes no calls and starts no goroutines, and takes the time as an argument. Its types are not safe for
// concurrent use.
package lease
