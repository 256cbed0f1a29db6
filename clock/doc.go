// Package clock measures elapsed time, including the time for which the machine was suspended.
// Begin with Now, which reads the Clock of the process.
package clock
