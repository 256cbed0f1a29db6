package lease

import (
	"os"
	"testing"

	"github.com/willowwick/willowwick/fixedseed"
)

func TestMain(m *testing.M) {
	os.Exit(fixedseed.Run(m, 150))
}
