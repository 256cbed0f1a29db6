// Package rollout evaluates the evidence on versions: it advances a roll-out when the new version is shown to be as
// good as the old, and withdraws a version that is shown to have turned bad. It does no I/O and reads no clock.
//
// Begin with Monitor, which compares one version with a baseline, and Evidence, the counts that it is given.
package rollout
