// Package exchange routes opaque requests: it authenticates them, chooses model,
// release and endpoint, repeats what may be repeated, and passes answers on as
// they come, on boxes that share what they know of endpoints and roll-outs.
package exchange
