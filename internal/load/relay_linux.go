package load

import (
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// relayBuffer is the maximum size of one read in bytes.
	relayBuffer = 32 << 10
	// relayEvents limits the connections that one wait reports.
	relayEvents = 256
	// relayPollMilliseconds limits one wait, after which the relay checks for
	// usage requests and for its close.
	relayPollMilliseconds = 20
)

// relay forwards bytes between callers and engines on one thread, with only
// the system calls needed: a wait for many connections, a read and a write.
// Its processor time per token is the lower bound on this machine.
type relay struct {
	listener      net.Listener
	engines       []string
	epoll         int
	usageRequests chan chan time.Duration
	closed        atomic.Bool
	// writes counts the reads forwarded, in both directions.
	writes atomic.Int64

	mutex sync.Mutex
	// peers maps each descriptor to that of the other end.
	peers map[int32]int32
	// files keep the descriptors open.
	files []*os.File
}

func startRelay(engines []string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "load: relay")
	}
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		_ = listener.Close()
		return nil, eris.Wrap(err, "load: relay")
	}
	r := &relay{
		listener:      listener,
		engines:       engines,
		epoll:         epoll,
		usageRequests: make(chan chan time.Duration),
		peers:         map[int32]int32{},
	}
	go r.accept()
	go r.run()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() {
	r.closed.Store(true)
	_ = r.listener.Close()
}

// usage returns the relay's processor time and writes so far.
func (r *relay) usage() relayUse {
	answer := make(chan time.Duration, 1)
	r.usageRequests <- answer
	return relayUse{processorTime: <-answer, writes: r.writes.Load()}
}

func (r *relay) accept() {
	for next := 0; ; next++ {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		engine, err := net.Dial("tcp", r.engines[next%len(r.engines)])
		if err != nil {
			_ = caller.Close()
			continue
		}
		r.connect(caller, engine)
	}
}

// connect starts forwarding between two connections.
func (r *relay) connect(caller, engine net.Conn) {
	a, b := r.detachDescriptor(caller), r.detachDescriptor(engine)
	if a < 0 || b < 0 {
		return
	}
	r.mutex.Lock()
	r.peers[a], r.peers[b] = b, a
	r.mutex.Unlock()
	for _, descriptor := range []int32{a, b} {
		event := unix.EpollEvent{Events: unix.EPOLLIN, Fd: descriptor}
		_ = unix.EpollCtl(r.epoll, unix.EPOLL_CTL_ADD, int(descriptor), &event)
	}
}

// detachDescriptor returns a blocking descriptor of a connection, or -1 on
// failure, and closes the original.
func (r *relay) detachDescriptor(conn net.Conn) int32 {
	file, err := conn.(*net.TCPConn).File()
	_ = conn.Close()
	if err != nil {
		return -1
	}
	r.mutex.Lock()
	r.files = append(r.files, file)
	r.mutex.Unlock()
	return int32(file.Fd())
}

func (r *relay) run() {
	runtime.LockOSThread()
	buffer := make([]byte, relayBuffer)
	events := make([]unix.EpollEvent, relayEvents)
	for !r.closed.Load() {
		count, _ := unix.EpollWait(r.epoll, events, relayPollMilliseconds)
		for i := range max(count, 0) {
			r.forward(events[i].Fd, buffer)
		}
		select {
		case answer := <-r.usageRequests:
			answer <- threadTime()
		default:
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, file := range r.files {
		_ = file.Close()
	}
	_ = unix.Close(r.epoll)
}

// forward reads the available bytes of a connection and writes them to its
// peer.
func (r *relay) forward(from int32, buffer []byte) {
	r.mutex.Lock()
	to := r.peers[from]
	r.mutex.Unlock()
	count, err := unix.Read(int(from), buffer)
	if err != nil || count == 0 {
		_ = unix.EpollCtl(r.epoll, unix.EPOLL_CTL_DEL, int(from), nil)
		_ = unix.Shutdown(int(to), unix.SHUT_WR)
		return
	}
	r.writes.Add(1)
	for rest := buffer[:count]; len(rest) > 0; {
		written, err := unix.Write(int(to), rest)
		if err != nil {
			return
		}
		rest = rest[written:]
	}
}

// threadTime returns the processor time of the calling thread.
func threadTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
