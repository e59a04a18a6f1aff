package workload

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// ErrMalformedTrace is returned for a trace that cannot be parsed.
var ErrMalformedTrace = eris.New("workload: malformed trace")

// maximumLine is the maximum length of a line in bytes.
const maximumLine = 16 << 20

// traceHeader is the first line of a trace; each further line is a Program.
type traceHeader struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate"`
	Programs int     `json:"programs"`
}

// Write saves a trace as JSON lines: a header, then one program a line in the
// order of arrival.
func (t *Trace) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	header := traceHeader{Workload: t.Workload, Seed: t.Seed, Rate: t.Rate, Programs: len(t.Programs)}
	if err := encoder.Encode(header); err != nil {
		return eris.Wrap(err, "workload: write trace")
	}
	for i := range t.Programs {
		if err := encoder.Encode(&t.Programs[i]); err != nil {
			return eris.Wrap(err, "workload: write trace")
		}
	}
	return eris.Wrap(buffered.Flush(), "workload: write trace")
}

// Read parses a trace. Its errors wrap ErrMalformedTrace and name the line.
func Read(r io.Reader) (Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maximumLine)
	var header traceHeader
	if !scanner.Scan() {
		return Trace{}, eris.Wrap(ErrMalformedTrace, "line 1: no header")
	}
	if err := json.Unmarshal(scanner.Bytes(), &header); err != nil {
		return Trace{}, eris.Wrapf(ErrMalformedTrace, "line 1: %v", err)
	}
	trace := Trace{Workload: header.Workload, Seed: header.Seed, Rate: header.Rate}
	for line := 2; scanner.Scan(); line++ {
		program, err := readProgram(scanner.Bytes())
		if err != nil {
			return Trace{}, eris.Wrapf(ErrMalformedTrace, "line %d: %v", line, err)
		}
		trace.Programs = append(trace.Programs, program)
	}
	if err := scanner.Err(); err != nil {
		return Trace{}, eris.Wrapf(ErrMalformedTrace, "%v", err)
	}
	if len(trace.Programs) != header.Programs {
		return Trace{}, eris.Wrapf(ErrMalformedTrace, "header says %d programs, found %d", header.Programs, len(trace.Programs))
	}
	return trace, nil
}

func readProgram(line []byte) (Program, error) {
	var program Program
	if err := json.Unmarshal(line, &program); err != nil {
		return Program{}, eris.Wrap(err, "not a program")
	}
	return program, program.validate()
}

func (p *Program) validate() error {
	switch {
	case p.ID == "" || p.Tenant == "" || p.Template == "":
		return eris.New("id, tenant and template are needed")
	case p.ArrivalSeconds < 0:
		return eris.New("arrival_seconds is negative")
	case len(p.Turns) == 0:
		return eris.New("a program needs a turn")
	}
	for i := range p.Turns {
		turn := &p.Turns[i]
		if turn.InputTokens < 1 || turn.AnswerTokens < 1 || turn.PauseSeconds < 0 {
			return eris.Errorf("turn %d: tokens must be positive and pauses not negative", i+1)
		}
		for j := range turn.SubAgents {
			if err := turn.SubAgents[j].validate(); err != nil {
				return err
			}
		}
	}
	return nil
}
