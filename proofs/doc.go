// Package proofs lists, for each guarantee, a source change that disables its
// mechanism and the test that then fails.
package proofs

import "embed"

// Breaks holds breaks.yaml.
//
//go:embed breaks.yaml
var Breaks embed.FS
