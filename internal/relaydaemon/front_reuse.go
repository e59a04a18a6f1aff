package relaydaemon

import (
	"net/http"
	"strconv"
	"time"
)

// HTTP/1.1 cannot close an idle connection safely while the caller's next request may be in flight:
// that request is lost, and its caller may not be allowed to repeat it. Therefore each answer
// announces how long the connection may be reused, or that it closes. Until that time is over, only
// the caller, the shutdown deadline or the exit of the process ends an idle connection: not the
// drain before the shutdown deadline, nor a lower limit of the operators, nor the daemon's
// isolation.

const (
	// reuseTime is how long callers may reuse a connection after an answer. Including
	// requestTransitTime it is no longer than rerouteTime. During a planned shutdown, answers
	// announce from the beginning that the connection closes, so when rerouteTime is over, only
	// connections whose answer began before the shutdown may still be reused.
	reuseTime = 2 * time.Second
	// requestTransitTime is how long a request sent in time may take to arrive: it covers one or
	// two lost packets or a delay in scheduling.
	requestTransitTime = rerouteTime - reuseTime
)

const (
	headerConnection = "Connection"
	headerKeepAlive  = "Keep-Alive"
)

// reuseWithin returns how long callers may reuse a connection under the operators' idle limit, in
// whole seconds as in the Keep-Alive header; 0 if the limit leaves no time.
func reuseWithin(idleLimit time.Duration) time.Duration {
	if idleLimit <= 0 {
		return reuseTime
	}
	return max(min(reuseTime, idleLimit-requestTransitTime), 0).Truncate(time.Second)
}

// reuseAnnouncer adds the headers that announce how long the connection may be reused.
type reuseAnnouncer struct {
	http.ResponseWriter
	server     *frontServer
	connection *frontConnection
	// isAnnounced: the headers are set.
	isAnnounced bool
}

// WriteHeader implements http.ResponseWriter.
func (w *reuseAnnouncer) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announceReuse()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *reuseAnnouncer) Write(data []byte) (int, error) {
	w.announceReuse()
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController use the underlying writer.
func (w *reuseAnnouncer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// announceReuse sets the headers once.
func (w *reuseAnnouncer) announceReuse() {
	if w.isAnnounced {
		return
	}
	w.isAnnounced = true
	if w.server.announcesClose() {
		w.Header().Set(headerConnection, "close")
		return
	}
	reuse := w.connection.grantReuse()
	if reuse > 0 {
		w.Header().Set(headerKeepAlive, "timeout="+strconv.Itoa(int(reuse/time.Second)))
	}
}
