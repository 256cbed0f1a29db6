// Package standin holds small fakes of the platform, of runners and of plain services, with switches for the faults
// that the system must tolerate. Tests, the demo and 'willowctl lab' use them.
package standin
