// Package e2e tests willowwickd and willowctl as separate processes on loopback.
package e2e
