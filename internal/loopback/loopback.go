// Package loopback provides addresses on this machine for servers that run in one process: the
// demonstration, the stand-ins of the load driver, and tests.
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
	// ephemeralAddress is the loopback address with a port chosen by the kernel.
	ephemeralAddress = host + ":0"
	// freePortCount is the number of ports below the kernel's ephemeral range from which
	// FreeAddress chooses, and minPort the lowest port that may be used.
	freePortCount = 10000
	minPort       = 2000
	// maxAttempts is the maximum number of attempts to find a free port.
	maxAttempts = 100
	// portRangeFile contains the kernel's ephemeral port range; defaultEphemeralStart is assumed if
	// it cannot be read.
	portRangeFile         = "/proc/sys/net/ipv4/ip_local_port_range"
	defaultEphemeralStart = 32768
)

// headerTimeout is how long a client may take to send a request header.
const headerTimeout = time.Second

// ErrListen: no port could be listened on.
var ErrListen = eris.New("loopback: cannot listen")

// FreeAddress returns an "IP:PORT" on which nothing listens now. The port is outside the ephemeral
// range, and was not returned to this process before. It is not reserved: another process may
// listen on it before the caller does. The error is ErrListen.
func FreeAddress() (string, error) {
	first := ephemeralStart() - freePortCount
	for range maxAttempts {
		port := first + rand.IntN(freePortCount)
		if first < minPort {
			port = 0 // there are not enough ports below
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if returnedAddresses.add(address) {
			return address, nil
		}
	}
	return "", eris.Wrap(ErrListen, "no port was free")
}

// returnedAddresses are the addresses returned so far.
var returnedAddresses addressSet

// addressSet is safe for concurrent use. The zero value is empty.
type addressSet struct {
	mutex     sync.Mutex
	addresses map[string]bool
}

// add adds an address; it returns false if the set contained it.
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

// ephemeralStart returns the first port of the kernel's ephemeral range.
func ephemeralStart() int {
	text, err := os.ReadFile(portRangeFile)
	if err != nil {
		return defaultEphemeralStart
	}
	fields := strings.Fields(string(text))
	if len(fields) == 0 {
		return defaultEphemeralStart
	}
	port, err := strconv.Atoi(fields[0])
	if err != nil {
		return defaultEphemeralStart
	}
	return port
}

// Serve serves HTTP on a port chosen by the kernel and returns the "IP:PORT". The caller closes the
// server. The error is ErrListen.
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
	listener, err := net.Listen("tcp", ephemeralAddress)
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	return listener, nil
}
