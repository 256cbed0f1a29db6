// Package examples embeds the declarations of two example customers, which the
// demo applies and the README explains.
package examples

import "embed"

// Declarations holds the folders prairie and bitola.
//
//go:embed prairie bitola
var Declarations embed.FS
