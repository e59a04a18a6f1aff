package fanout_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/fanout"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// capture keeps the messages that are sent, as they are encoded.
type capture struct{ lines [][]byte }

// Send implements peer.Transport.
func (c *capture) Send(to structs.DaemonID, message peer.Message) {
	line, err := peer.Encode("a", to, message)
	if err != nil {
		panic(err)
	}
	c.lines = append(c.lines, line)
}

func TestToldRecordsArriveAndGetNoAnswer(t *testing.T) {
	partition := store.Partition{Space: "x"}
	records := []store.Record{{Key: "k", Value: []byte("v")}}
	sent, answers := &capture{}, &capture{}
	options := func(transport peer.Transport) fanout.Options {
		return fanout.Options{Transport: transport, Logger: zerolog.Nop(), Metrics: fanout.NewMetrics(prometheus.NewRegistry())}
	}
	fanout.New(options(sent)).Tell("b", partition, records, true)
	_, _, message, err := peer.Decode(sent.lines[0])
	if err != nil {
		t.Fatal(err)
	}
	var got []store.Record
	receiving := options(answers)
	receiving.OnTold = func(_ store.Partition, records []store.Record, keep bool) {
		if keep {
			got = records
		}
	}
	if !fanout.New(receiving).Receive("a", message) || len(answers.lines) != 0 {
		t.Errorf("%d answers", len(answers.lines))
	}
	if diff := cmp.Diff(records, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
