package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/platform/standin"
)

const (
	// recordBytes and callBytes are the bounds of the deploy page's example of settings.
	recordBytes = 262144
	callBytes   = 2097152
	// pageItems keeps a page of a listing below one megabyte.
	pageItems  = 8
	pathAppend = "/api/log-append"
)

// storeServer is the project's stand-in for the platform's store behind the bounds that the pages
// set for an append: a record of at most recordBytes, and callBytes in all.
type storeServer struct {
	log      *standin.Log
	server   *http.Server
	address  string
	recorder *recorder

	mutex    sync.Mutex
	tooLarge map[string]int
}

func startStore(r *recorder) (*storeServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeServer{log: standin.NewLog(), address: listener.Addr().String(), recorder: r, tooLarge: map[string]int{}}
	s.log.SetPageItems(pageItems)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != pathAppend {
		s.log.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if problem := exceeds(body); problem != "" {
		s.refuse(r, problem)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	s.log.ServeHTTP(w, r)
}

// exceeds tells which bound an append exceeds, "" for none.
func exceeds(body []byte) string {
	if len(body) > callBytes {
		return fmt.Sprintf("call of %d bytes", len(body))
	}
	for rest := body; len(rest) >= 4; {
		length := int(binary.BigEndian.Uint32(rest))
		if length > recordBytes {
			return fmt.Sprintf("record of %d bytes", length)
		}
		if length > len(rest)-4 {
			return ""
		}
		rest = rest[4+length:]
	}
	return ""
}

// refuse records an append that exceeds a bound. Repeats are counted and noted now and then.
func (s *storeServer) refuse(r *http.Request, problem string) {
	query := r.URL.Query()
	key := query.Get("topic") + "/" + query.Get("part")
	s.mutex.Lock()
	s.tooLarge[key]++
	count := s.tooLarge[key]
	s.mutex.Unlock()
	if count == 1 || count%50 == 0 {
		s.recorder.note("store: append to %s refused with 413, nothing done: %s, producer epoch %s, callSeq %s, refusal %d",
			key, problem, query.Get("epoch"), query.Get("callSeq"), count)
	}
}

// refusedPartitions returns how many appends were refused as too large, by partition.
func (s *storeServer) refusedPartitions() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := map[string]int{}
	for key, count := range s.tooLarge {
		counts[key] = count
	}
	return counts
}
