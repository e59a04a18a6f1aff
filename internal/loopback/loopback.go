// Package loopback finds addresses on this machine for what is started in one
// process: the demonstration, the load driver's stand-ins, and tests.
package loopback

import (
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	host = "127.0.0.1"
	// anyPort is the loopback address with a port that the system picks.
	anyPort = host + ":0"
	// freePorts is how many ports below those that the system picks are given,
	// and leastPort the lowest that may be.
	freePorts = 10000
	leastPort = 2000
	// freeTries bounds the tries to find a free one.
	freeTries = 100
	// portRangeFile tells from which ports the system picks; where there is
	// none, usualFirstSystemPort holds.
	portRangeFile        = "/proc/sys/net/ipv4/ip_local_port_range"
	usualFirstSystemPort = 32768
)

// headerTimeout bounds how long a client may take to send a request's header.
const headerTimeout = time.Second

// ErrListen is returned when no port can be listened on.
var ErrListen = eris.New("loopback: cannot listen")

// FreeAddress returns an "IP:PORT" that nothing listens on now, of a port that
// the system does not pick for others and that this process was not given
// before. It is not reserved: who listens on it by number may take it before the
// caller does. The error is ErrListen.
func FreeAddress() (string, error) {
	first := firstSystemPort() - freePorts
	for range freeTries {
		port := first + rand.IntN(freePorts)
		if first < leastPort {
			port = 0 // there is no room below
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if given.add(address) {
			return address, nil
		}
	}
	return "", eris.Wrap(ErrListen, "no port was free")
}

// given are the addresses that this process was given.
var given addressSet

// addressSet is safe for concurrent use. The zero value is empty.
type addressSet struct {
	mutex     sync.Mutex
	addresses map[string]bool
}

// add returns false if the address was in the set.
func (s *addressSet) add(address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.addresses[address] {
		return false
	}
	if s.addresses == nil {
		s.addresses = map[string]bool{}
	}
	s.addresses[address] = true
	return true
}

// firstSystemPort is the first of the ports from which the system picks.
func firstSystemPort() int {
	text, err := os.ReadFile(portRangeFile)
	if err != nil {
		return usualFirstSystemPort
	}
	fields := strings.Fields(string(text))
	if len(fields) == 0 {
		return usualFirstSystemPort
	}
	port, err := strconv.Atoi(fields[0])
	if err != nil {
		return usualFirstSystemPort
	}
	return port
}

// Serve answers HTTP on a port that the system picks and returns the "IP:PORT".
// The caller closes the server. The error is ErrListen.
func Serve(handler http.Handler) (*http.Server, string, error) {
	listener, err := listen()
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }() // ends when the caller closes the server
	return server, listener.Addr().String(), nil
}

func listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	return listener, nil
}
