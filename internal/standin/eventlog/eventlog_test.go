package eventlog

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/plugins/eventlog/httplog"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const stream = framework.StreamConfiguration

// client returns the fleet's own driver for a log behind HTTP.
func client(t *testing.T, log *Log, replica bool) framework.EventLog {
	t.Helper()
	server := httptest.NewServer(log)
	if replica {
		server = httptest.NewServer(log.Replica())
	}
	t.Cleanup(server.Close)
	return httplog.New(framework.DriverSettings{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}})
}

func appendEntry(log framework.EventLog, operation, payload string) (structs.LogOffset, error) {
	type answer struct {
		offset structs.LogOffset
		err    error
	}
	answered := make(chan answer, 1)
	log.Append(stream, operation, []byte(payload), func(offset structs.LogOffset, err error) { answered <- answer{offset, err} })
	got := <-answered
	return got.offset, got.err
}

func operations(t *testing.T, log framework.EventLog) []string {
	t.Helper()
	answered := make(chan []framework.LogEntry, 1)
	log.Read(stream, 0, 100, func(entries []framework.LogEntry, err error) {
		if err != nil {
			t.Error(err)
		}
		answered <- entries
	})
	var names []string
	for _, entry := range <-answered {
		names = append(names, entry.OperationID)
	}
	return names
}

func TestAppendsAreNotDeduplicated(t *testing.T) {
	log := client(t, New(), false)
	for want := range structs.LogOffset(2) {
		if offset, err := appendEntry(log, "same", "x"); err != nil || offset != want {
			t.Errorf("offset %d, %v; want %d", offset, err, want)
		}
	}
	if diff := cmp.Diff([]string{"same", "same"}, operations(t, log)); diff != "" {
		t.Error(diff)
	}
}

func TestFaultsOfAppends(t *testing.T) {
	cases := []struct {
		name    string
		faults  Faults
		want    error
		entered bool
	}{
		{"answer lost", Faults{LoseAppendAnswers: 1}, framework.ErrUnreachable, true},
		{"request lost", Faults{ServiceFaults: control.ServiceFaults{LoseRequests: 1}}, framework.ErrUnreachable, false},
		{"appends down", Faults{AppendsDown: true}, framework.ErrUnavailable, false},
		{"too large", Faults{MaximumEntryBytes: 3}, framework.ErrUnavailable, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := New()
			driver := client(t, log, false)
			if err := log.Faults.Set(c.faults); err != nil {
				t.Fatal(err)
			}
			if _, err := appendEntry(driver, "a", "payload"); !eris.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if entered := log.Lengths()[stream] == 1; entered != c.entered {
				t.Errorf("took effect: %v, want %v", entered, c.entered)
			}
		})
	}
}

func TestReplicaLags(t *testing.T) {
	log := New()
	replica := client(t, log, true)
	if err := log.Faults.Set(Faults{ReplicaLag: control.Duration(time.Hour)}); err != nil {
		t.Fatal(err)
	}
	log.Append(stream, "a", nil)
	if got := operations(t, replica); len(got) != 0 {
		t.Errorf("the replica shows %v", got)
	}
	_ = log.Faults.Set(Faults{})
	if diff := cmp.Diff([]string{"a"}, operations(t, replica)); diff != "" {
		t.Error(diff)
	}
	if _, err := appendEntry(replica, "b", "x"); err == nil {
		t.Error("the replica took an append")
	}
}
