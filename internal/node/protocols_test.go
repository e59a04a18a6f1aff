package node_test

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	_ "github.com/mintpulley/mintpulley/internal/node"
	"github.com/mintpulley/mintpulley/internal/peer"
)

// TestEveryMessageHasAnExample checks that docs/PROTOCOLS.md has one example
// line for every registered message kind, exactly as a daemon encodes it.
func TestEveryMessageHasAnExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROTOCOLS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "\n## Between daemons\n")
	if !found {
		t.Fatal(`the page has no section "Between daemons"`)
	}
	var shown []peer.Kind
	for line := range strings.Lines(section) {
		example, indented := strings.CutPrefix(line, "    ")
		if !indented {
			continue
		}
		shown = append(shown, kindOfExample(t, example))
	}
	slices.Sort(shown)
	if diff := cmp.Diff(peer.Kinds(), shown); diff != "" {
		t.Errorf("message kinds (-registered +with an example):\n%s", diff)
	}
}

// kindOfExample decodes one line and fails the test when a daemon would encode
// it differently, for example because a field was removed or renamed.
func kindOfExample(t *testing.T, example string) peer.Kind {
	t.Helper()
	from, to, message, err := peer.Decode([]byte(example))
	if err != nil {
		t.Fatalf("%s: %v", example, err)
	}
	written, err := peer.Encode(from, to, message)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(written), example); diff != "" {
		t.Errorf("%s (-as encoded +on the page):\n%s", message.MessageKind(), diff)
	}
	return message.MessageKind()
}
