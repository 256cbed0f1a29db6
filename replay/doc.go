// Package replay runs recorded or generated traces through the routing code in virtual time, compares it with baseline
// policies in the same run, and checks the expected outcomes. A small fake of a batching runner serves the requests.
// Begin with Run, which replays a Trace and returns a Report.
package replay
