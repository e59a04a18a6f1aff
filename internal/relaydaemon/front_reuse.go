package relaydaemon

import (
	"net/http"
	"strconv"
	"time"
)

// HTTP/1.1 has no way to close a connection that rests while the caller's next request may be
// on its way: that request is lost, and where it may not be repeated, it is lost to its caller.
// So each answer tells for how long the connection may be taken up again, or that it closes,
// and nothing but the caller, or the end of the process, ends a connection's rest before that
// time is over: neither the drain of a planned stop, nor a lower limit of the operators, nor a cut.

const (
	// reuseTime is for how long callers may take up a connection after an answer. It ends,
	// travel included, within noticeTime: in a planned stop answers say from its begin that
	// the connection closes, so at the end of the notice no caller may use a connection
	// that rests but those of answers that began before it: these hold it for as long as
	// they may be used. Without it each stop loses 0.06 to 0.2 requests, with it none (means of
	// days with 100 to 200 stops, links of 3 ms).
	reuseTime = 2 * time.Second
	// requestTravel is how long a request may take to arrive that was sent in time: the
	// loss of a packet or two, or a processor that is not had for a while.
	requestTravel = noticeTime - reuseTime
)

const (
	headerConnection = "Connection"
	headerKeepAlive  = "Keep-Alive"
)

// reuseWithin returns for how long callers may take up a connection again, by the operators'
// limit on its rest: whole seconds, as callers are told; 0 if the limit leaves none.
func reuseWithin(idleLimit time.Duration) time.Duration {
	if idleLimit <= 0 {
		return reuseTime
	}
	return max(min(reuseTime, idleLimit-requestTravel), 0).Truncate(time.Second)
}

// answerWriter tells with each answer's head for how long the connection may be used again.
type answerWriter struct {
	http.ResponseWriter
	server     *frontServer
	connection *frontConnection
	// isAnnounced: the headers are set.
	isAnnounced bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announceReuse()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(data []byte) (int, error) {
	w.announceReuse()
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the writer beneath.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// announceReuse sets the headers that tell it, once.
func (w *answerWriter) announceReuse() {
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
