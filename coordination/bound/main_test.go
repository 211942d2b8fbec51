package bound

import (
	"testing"

	"github.com/thymerack/thymerack/coordination/fuzztest"
)

func TestMain(m *testing.M) { fuzztest.Main(m, fuzztest.Defaults{Seed: 20261202, Checks: 100}) }
