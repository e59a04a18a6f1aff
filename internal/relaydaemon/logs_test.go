package relaydaemon

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
)

// TestLastLineIsWritten: the last line of a process tells that it stopped as
// planned.
func TestLastLineIsWritten(t *testing.T) {
	const processes = 5000
	var lost LostLines
	missing := 0
	for range processes {
		output := &bytes.Buffer{}
		logger, closer := NewLogger(output, zerolog.InfoLevel, lost.Add)
		logger.Info().Msg("Daemon stopped.")
		if err := closer.Close(); err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(output.Bytes(), []byte("Daemon stopped.")) {
			missing++
		}
	}
	if missing > 0 || lost.Count() > 0 {
		t.Errorf("%d of %d last lines are missing, %d counted as lost", missing, processes, lost.Count())
	}
}
