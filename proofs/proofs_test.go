package proofs

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

var runBreaks = flag.Bool("breaks", false, "disable each mechanism in a copy of the project and expect its test to fail")

// mechanismBreak is one entry of breaks.yaml: a replacement of Old by New in File that makes Test of Package fail.
type mechanismBreak struct {
	Promise string `yaml:"promise"`
	File    string `yaml:"file"`
	Old     string `yaml:"old"`
	New     string `yaml:"new"`
	Package string `yaml:"package"`
	Test    string `yaml:"test"`
}

const root = ".."

func readBreaks(t *testing.T) []mechanismBreak {
	t.Helper()
	data, err := Breaks.ReadFile("breaks.yaml")
	require.NoError(t, err)
	var breaks []mechanismBreak
	require.NoError(t, yaml.Unmarshal(data, &breaks))
	return breaks
}

// testNames returns the set of test names of the project.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func (Test\w+|Fuzz\w+|Benchmark\w+)\(`)
	require.NoError(t, filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range declaration.FindAllStringSubmatch(string(data), -1) {
			names[match[1]] = true
		}
		return nil
	}))
	return names
}

// TestBreaksApply checks that the old text of each break occurs exactly once and that its test exists.
func TestBreaksApply(t *testing.T) {
	names := testNames(t)
	for _, b := range readBreaks(t) {
		data, err := os.ReadFile(filepath.Join(root, b.File))
		require.NoError(t, err)
		require.Equal(t, 1, strings.Count(string(data), b.Old), "%s: %q in %s", b.Promise, b.Old, b.File)
		require.True(t, names[strings.Split(b.Test, "/")[0]], "%s: test %s does not exist", b.Promise, b.Test)
	}
}

// TestProofsPageNamesTests checks that each test named in docs/PROOFS.md exists.
func TestProofsPageNamesTests(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(root, "docs/PROOFS.md"))
	require.NoError(t, err)
	names := testNames(t)
	found := regexp.MustCompile("`((?:Test|Fuzz|Benchmark)\\w+)").FindAllStringSubmatch(string(data), -1)
	require.NotEmpty(t, found)
	for _, match := range found {
		require.True(t, names[match[1]], "docs/PROOFS.md names %s, which does not exist", match[1])
	}
}

// TestEachBreakFailsItsTest applies the breaks one at a time in a copy of the project and runs their tests.
func TestEachBreakFailsItsTest(t *testing.T) {
	if !*runBreaks {
		t.Skip("takes several minutes; run with -breaks")
	}
	copied := t.TempDir()
	require.NoError(t, os.CopyFS(copied, os.DirFS(root)))
	for _, b := range readBreaks(t) {
		t.Run(strings.ReplaceAll(b.Promise, " ", "-"), func(t *testing.T) {
			path := filepath.Join(copied, b.File)
			whole, err := os.ReadFile(path)
			require.NoError(t, err)
			broken := strings.Replace(string(whole), b.Old, b.New, 1)
			require.NoError(t, os.WriteFile(path, []byte(broken), 0o600))
			defer func() { require.NoError(t, os.WriteFile(path, whole, 0o600)) }()
			pattern := "^" + strings.ReplaceAll(b.Test, "/", "$/^") + "$"
			cmd := exec.Command("go", "test", "-vet=off", "-count=1", "-run", pattern, b.Package)
			cmd.Dir = copied
			output, err := cmd.CombinedOutput()
			require.NotContains(t, string(output), "failed]", "%s", output) // build or setup failure
			require.Error(t, err, "%s passes although its mechanism is disabled", b.Test)
		})
	}
}
