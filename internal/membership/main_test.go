package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	os.Exit(m.Run())
}
