// Package standin holds small fakes of the platform, of runners and of plain services, with switches for the faults
// that the system must tolerate. Platform, Engine and Service stand in for the platform of the lab and its endpoints;
// Store and BatchRunner for the users' platform and its runners. Tests, the demo and 'willowctl lab' use them.
package standin
