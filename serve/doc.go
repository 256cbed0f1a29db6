// Package serve implements the daemon: the callers' API, the handling of a
// request from admission to billing, the operators' pages, and the planned stop.
package serve
