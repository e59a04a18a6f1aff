// Package proxy is a TCP proxy that injects faults: delay, jitter, limited
// bandwidth, refused and reset connections, bytes held back or lost in one
// direction, half-closed connections. One process carries many routes; all are
// configured at run time, over HTTP or through this package.
package proxy

import (
	"cmp"
	"net/http"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/standin/control"
)

// Errors of the proxy.
var (
	// ErrListen is returned when a route's address cannot be listened on.
	ErrListen = eris.New("cannot listen")
	// ErrExists is returned for a route whose name is in use.
	ErrExists = eris.New("the route exists")
	// ErrSide is returned for a side that is neither client nor target.
	ErrSide = eris.New("side must be client or target")
)

// Proxy is a set of routes. It implements http.Handler for its control API:
// GET and POST /routes, DELETE /routes/NAME, GET and PUT /routes/NAME/faults,
// POST /routes/NAME/cut, POST /routes/NAME/half_close?side=client|target.
type Proxy struct {
	seed   uint64
	mux    *http.ServeMux
	mutex  sync.Mutex
	routes map[string]*Route
}

// RouteState is a route as the control API shows it.
type RouteState struct {
	Name        string `json:"name"`
	Listen      string `json:"listen"`
	Target      string `json:"target"`
	Faults      Faults `json:"faults"`
	Accepted    int64  `json:"accepted"`
	Connections int    `json:"connections"`
}

// New returns a proxy without routes. The seed determines the jitter.
func New(seed uint64) *Proxy {
	p := &Proxy{seed: seed, mux: http.NewServeMux(), routes: map[string]*Route{}}
	p.mux.HandleFunc("GET /routes", p.serveRoutes)
	p.mux.HandleFunc("POST /routes", p.serveAdd)
	p.mux.HandleFunc("DELETE /routes/{name}", p.serveRemove)
	p.mux.HandleFunc("/routes/{name}/faults", p.serveFaults)
	p.mux.HandleFunc("POST /routes/{name}/cut", p.serveCut)
	p.mux.HandleFunc("POST /routes/{name}/half_close", p.serveHalfClose)
	return p
}

// Add listens on an address, "IP:PORT", and forwards connections to a target.
func (p *Proxy) Add(name, listen, target string) (*Route, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.routes[name] != nil {
		return nil, eris.Wrap(ErrExists, name)
	}
	route, err := newRoute(name, listen, target, p.seed+uint64(len(p.routes)))
	if err != nil {
		return nil, err
	}
	p.routes[name] = route
	return route, nil
}

// Route returns a route, or nil.
func (p *Proxy) Route(name string) *Route {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.routes[name]
}

// Remove closes a route; it returns false when none has that name.
func (p *Proxy) Remove(name string) bool {
	p.mutex.Lock()
	route := p.routes[name]
	delete(p.routes, name)
	p.mutex.Unlock()
	if route == nil {
		return false
	}
	route.close()
	return true
}

// Close closes all routes.
func (p *Proxy) Close() {
	for _, state := range p.States() {
		p.Remove(state.Name)
	}
}

// States returns all routes, sorted by name.
func (p *Proxy) States() []RouteState {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	states := make([]RouteState, 0, len(p.routes))
	for _, route := range p.routes {
		states = append(states, route.state())
	}
	slices.SortFunc(states, func(a, b RouteState) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

func (r *Route) state() RouteState {
	return RouteState{
		Name:        r.name,
		Listen:      r.Address(),
		Target:      r.target,
		Faults:      r.Faults.Get(),
		Accepted:    r.accepted.Load(),
		Connections: r.Connections(),
	}
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Proxy) serveRoutes(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, p.States()) }

// addRequest is the body of POST /routes.
type addRequest struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Target string `json:"target"`
}

func (p *Proxy) serveAdd(w http.ResponseWriter, r *http.Request) {
	var request addRequest
	if !control.ReadJSON(w, r, &request) {
		return
	}
	if request.Name == "" || request.Target == "" {
		http.Error(w, "name and target must be given", http.StatusBadRequest)
		return
	}
	route, err := p.Add(request.Name, request.Listen, request.Target)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	control.WriteJSON(w, route.state())
}

// requestedRoute returns the route that a request names, or answers that there
// is none.
func (p *Proxy) requestedRoute(w http.ResponseWriter, r *http.Request) *Route {
	route := p.Route(r.PathValue("name"))
	if route == nil {
		http.Error(w, "no route of that name", http.StatusNotFound)
	}
	return route
}

func (p *Proxy) serveRemove(w http.ResponseWriter, r *http.Request) {
	if !p.Remove(r.PathValue("name")) {
		http.Error(w, "no route of that name", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Proxy) serveFaults(w http.ResponseWriter, r *http.Request) {
	if route := p.requestedRoute(w, r); route != nil {
		route.Faults.ServeHTTP(w, r)
	}
}

// affected is the number of connections that a fault affected.
type affected struct {
	Connections int `json:"connections"`
}

func (p *Proxy) serveCut(w http.ResponseWriter, r *http.Request) {
	if route := p.requestedRoute(w, r); route != nil {
		control.WriteJSON(w, affected{Connections: route.Cut()})
	}
}

func (p *Proxy) serveHalfClose(w http.ResponseWriter, r *http.Request) {
	side := Side(r.URL.Query().Get("side"))
	if side != SideClient && side != SideTarget {
		http.Error(w, ErrSide.Error(), http.StatusBadRequest)
		return
	}
	if route := p.requestedRoute(w, r); route != nil {
		control.WriteJSON(w, affected{Connections: route.HalfClose(side)})
	}
}
