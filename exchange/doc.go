// Package exchange routes opaque requests: it authenticates them, chooses model, release and endpoint, retries what may
// be retried, and streams answers as they arrive, on boxes that share their state of endpoints and roll-outs.
package exchange
