// Package lab runs a whole fleet with its stand-ins in one process, over loopback or over an in-memory network whose
// links can be cut. The demo and the tests of the fleet's guarantees use it. Begin with Fleet; Traffic sends it requests,
// and MeasureFleet measures the cost per daemon of fleets of any size.
package lab
