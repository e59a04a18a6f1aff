//go:build integration

package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/klauspost/compress/zstd"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// archivePart is an entry of a shard's archive in the platform's log; see
// docs/REPLICATION.md.
type archivePart struct {
	Part   int    `json:"part"`
	Pieces int    `json:"pieces"`
	Data   []byte `json:"data"`
}

// archiveSnapshot is the content of part 0, the snapshot.
type archiveSnapshot struct {
	State struct {
		Programs []struct {
			Key     structs.ProgramKey                         `json:"key"`
			Settled map[structs.RequestID]*program.SettledCall `json:"settled"`
		} `json:"programs"`
	} `json:"state"`
}

// archiveDelta is an element of the content of all later parts.
type archiveDelta struct {
	Records []structs.Record `json:"r"`
}

// archivedOrders returns the attempts whose outcome is archived in the platform's
// log.
func (f *fleet) archivedOrders() map[structs.AttemptID]bool {
	f.t.Helper()
	streams := map[framework.StreamName]int{}
	f.getJSON("http://"+f.log+"/streams", &streams)
	archived := map[structs.AttemptID]bool{}
	for stream, length := range streams {
		if !strings.HasPrefix(string(stream), string(framework.StreamSnapshots)+"-") {
			continue
		}
		var entries []framework.LogEntry
		f.getJSON(fmt.Sprintf("http://%s/streams/%s?limit=%d", f.log, stream, length), &entries)
		for _, entry := range entries {
			f.addArchivedPart(archived, entry.Payload)
		}
	}
	return archived
}

// addArchivedPart adds the outcomes in one part of an archive.
func (f *fleet) addArchivedPart(archived map[structs.AttemptID]bool, payload []byte) {
	f.t.Helper()
	var part archivePart
	f.decodeJSON(payload, &part)
	if part.Pieces != 1 {
		f.t.Fatalf("part %d of an archive has %d pieces, want 1 for so few programs", part.Part, part.Pieces)
	}
	decoder, err := zstd.NewReader(nil)
	if err != nil {
		f.t.Fatal(err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(part.Data, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	if part.Part == 0 {
		f.addArchivedSnapshot(archived, content)
		return
	}
	var deltas []archiveDelta
	f.decodeJSON(content, &deltas)
	for _, delta := range deltas {
		for _, record := range delta.Records {
			if settled := record.CallSettled; settled != nil {
				archived[structs.NewAttemptID(settled.Key, settled.RequestID)] = true
			}
		}
	}
}

func (f *fleet) addArchivedSnapshot(archived map[structs.AttemptID]bool, content []byte) {
	f.t.Helper()
	var snapshot archiveSnapshot
	f.decodeJSON(content, &snapshot)
	for _, program := range snapshot.State.Programs {
		for request := range program.Settled {
			archived[structs.NewAttemptID(program.Key, request)] = true
		}
	}
}

func (f *fleet) decodeJSON(data []byte, into any) {
	f.t.Helper()
	if err := json.Unmarshal(data, into); err != nil {
		f.t.Fatalf("%v in %.200q", err, data)
	}
}

// getJSON decodes the JSON answer of a stand-in.
func (f *fleet) getJSON(url string, into any) {
	f.t.Helper()
	response, err := http.Get(url)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		f.t.Fatalf("%s: %v", url, err)
	}
}
