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
