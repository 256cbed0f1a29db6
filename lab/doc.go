// Package lab runs a whole fleet with its stand-ins in one process, over loopback or over an in-memory network whose
// links can be cut. The demo and the tests of the fleet's guarantees use it.
package lab
