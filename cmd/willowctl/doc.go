// Willowctl is the operators' command: it checks and publishes declarations, shows the state of the fleet,
// and runs the lab, the demo and the replay. Begin with newRoot, which lists the commands.
package main
