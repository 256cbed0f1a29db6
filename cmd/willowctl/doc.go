// Willowctl is the operators' command: it checks and publishes declarations, shows the state of the fleet,
// and runs the lab, the demo and the replay.
package main
