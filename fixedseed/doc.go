// Package fixedseed runs the property tests of a package with a fixed random
// seed, unless the command line sets another one.
package fixedseed
