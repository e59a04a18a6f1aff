package fanout

import (
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Tell tells another daemon of records that the store has not taken. With keep, that stores them, too,
// in case this daemon ends first.
func (s *Service) Tell(to structs.DaemonID, partition store.Partition, records []store.Record, keep bool) {
	s.Transport.Send(to, &Request{Partition: partition, At: noPosition, Told: records, Keep: keep})
}

// noPosition is a position that no bundle has: a daemon that does not know of Tell answers that it is
// unable.
const noPosition = -1

// receiveTold passes on what another daemon tells.
func (s *Service) receiveTold(request *Request) {
	if s.OnTold != nil {
		s.OnTold(request.Partition, request.Told, request.Keep)
	}
}
