package fixedseed

import (
	"flag"
	"strconv"
	"testing"
)

const defaultSeed = "1"

// Run runs the tests with the given number of checks per property, a fixed seed and no fail files. Flags given on the
// command line take precedence. It returns the exit code for TestMain.
func Run(m *testing.M, checks int) int {
	flag.Parse()
	isGiven := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { isGiven[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.checks": strconv.Itoa(checks), "rapid.seed": defaultSeed, "rapid.nofailfile": "true",
	} {
		if isGiven[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
