// Package clock measures elapsed time, including the time for which the machine was suspended.
package clock
