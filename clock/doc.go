// Package clock tells the time that has passed, that of a suspended machine included.
package clock
