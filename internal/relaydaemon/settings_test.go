package relaydaemon

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

func TestSettingsNameEveryMistake(t *testing.T) {
	_, err := ParseSettings("boot.yaml", []byte("front_address: nowhere\nunknown: 1\nstop_seconds: -1\nmemory_megabytes: x\n"))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{"adapter", "front_address", "ready_address", "peer_address", "store_address", "zone", "unknown", "stop_seconds", "memory_megabytes"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not named in:\n%v", want, err)
		}
	}
}

// TestInvalidHeartbeatIsNamed checks that the error names the field and its value.
func TestInvalidHeartbeatIsNamed(t *testing.T) {
	for _, value := range []string{"0", "-5", "1e9"} {
		_, err := ParseSettings("boot.yaml", []byte("heartbeat_milliseconds: "+value+"\n"))
		if err == nil || !strings.Contains(err.Error(), "heartbeat_milliseconds: is "+strings.Replace(value, "1e9", "1e+09", 1)) {
			t.Errorf("%s: %v", value, err)
		}
	}
}

func TestMissingSettingsFile(t *testing.T) {
	if _, err := ReadSettings("/nowhere/boot.yaml"); !errors.Is(err, ErrUnreadable) {
		t.Errorf("got %v, want %v", err, ErrUnreadable)
	}
}

func TestLogNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe() // no reader
	defer func() { _ = reader.Close() }()
	var lost DroppedLines
	logger, _ := NewLogger(writer, zerolog.InfoLevel, lost.Add)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * logQueueSize {
			logger.Info().Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks on a slow reader")
	}
}

// A bound of an append that leaves no room is named; without bounds the usual ones hold.
func TestInvalidBoundsOfAnAppendAreNamed(t *testing.T) {
	for text, want := range map[string]string{
		"store_record_bytes: 0\n":                            "store_record_bytes: is 0",
		"store_record_bytes: 8191\n":                         "store_record_bytes: is 8191",
		"store_call_bytes: 0\n":                              "store_call_bytes: is 0",
		"store_record_bytes: 9000\nstore_call_bytes: 8999\n": "store_call_bytes: is 8999",
	} {
		if _, err := ParseSettings("boot.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
	if _, err := ParseSettings("boot.yaml", nil); err == nil || strings.Contains(err.Error(), "store_record_bytes") || strings.Contains(err.Error(), "store_call_bytes") {
		t.Errorf("without bounds: %v", err)
	}
}
