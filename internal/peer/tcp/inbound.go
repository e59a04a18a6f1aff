package tcp

import (
	"bufio"
	"errors"
	"net"
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// acceptRetryDelay is the delay before accepting again after an error.
	acceptRetryDelay = 50 * time.Millisecond
	// maxLineSize is the maximum size of a message in bytes.
	maxLineSize = 64 << 20
)

// acceptConnections accepts connections until the transport closes. It retries after an error, for
// example if the process has too many open files.
func (t *Transport) acceptConnections() {
	defer t.workers.Done()
	for {
		conn, err := t.listener.Accept()
		if err != nil && t.context.Err() != nil {
			return
		}
		if err != nil {
			t.logger.Warn().Err(err).Msg("Connection not accepted.")
			t.sleep(acceptRetryDelay)
			continue
		}
		t.mutex.Lock()
		if t.closed {
			t.mutex.Unlock()
			_ = conn.Close() // the transport is closed
			return
		}
		t.accepted[conn] = struct{}{}
		t.workers.Add(1)
		t.mutex.Unlock()
		go t.readFrom(conn)
	}
}

// sleep waits for d, or until the transport closes.
func (t *Transport) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.context.Done():
	case <-timer.C:
	}
}

// readFrom handles the messages of a connection until it ends.
func (t *Transport) readFrom(conn net.Conn) {
	defer t.workers.Done()
	defer func() {
		t.mutex.Lock()
		delete(t.accepted, conn)
		t.mutex.Unlock()
		_ = conn.Close() // its messages end here
	}()
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, bufferSize), maxLineSize)
	var decoder peer.Decoder
	for scanner.Scan() {
		if !t.receive(&decoder, scanner.Bytes()) {
			return
		}
	}
	// Other errors are those of connections that end.
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		t.logger.Warn().Str("from", conn.RemoteAddr().String()).Int("limit", maxLineSize).Msg("Message refused. It is too long.")
	}
}

// receive handles one line and reports whether it could be decoded. If not, the caller closes the
// connection.
func (t *Transport) receive(decoder *peer.Decoder, line []byte) bool {
	from, to, message, err := decoder.Decode(line)
	if err != nil {
		t.logger.Warn().Err(err).Msg("Message refused.")
		return false
	}
	anyRun := to.Incarnation() == structs.AnyIncarnation
	if !anyRun && to != t.self {
		return true
	}
	t.handler.Receive(from, message)
	return true
}
