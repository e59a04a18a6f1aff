package gateway_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/mintpulley/mintpulley/internal/structs"
)

var reasonPattern = regexp.MustCompile(`(Reason\w+)\s+Reason = "(\w+)"`)

// TestEachReasonHasACallersTest guards against refusal reasons without a test through
// real daemons.
func TestEachReasonHasACallersTest(t *testing.T) {
	types, err := os.ReadFile("../structs/call.go")
	if err != nil {
		t.Fatal(err)
	}
	var tests strings.Builder
	for _, file := range []string{"refusal_test.go", "faults_test.go"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		tests.Write(text)
	}
	reasons := reasonPattern.FindAllStringSubmatch(string(types), -1)
	if len(reasons) < 20 {
		t.Fatalf("found %d reasons", len(reasons))
	}
	for _, reason := range reasons {
		name, text := reason[1], reason[2]
		// A completed program is no refusal.
		if structs.Reason(text) == structs.ReasonCompleted {
			continue
		}
		if !strings.Contains(tests.String(), name) && !strings.Contains(tests.String(), `"`+text+`"`) {
			t.Errorf("no caller's test expects %q", text)
		}
	}
}
