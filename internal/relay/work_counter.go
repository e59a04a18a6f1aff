package relay

import (
	"context"
	"sync"
)

// workCounter counts work in progress. Unlike with a sync.WaitGroup, work may begin while it is waited for.
// It is safe for concurrent use; the zero value is ready.
type workCounter struct {
	mutex sync.Mutex
	count int
	// idle is closed once count is 0; nil if nobody waits for that.
	idle chan struct{}
}

// run runs a function as counted work.
func (w *workCounter) run(work func()) {
	w.mutex.Lock()
	w.count++
	w.mutex.Unlock()
	defer w.end()
	work()
}

// runInBackground is run in a goroutine of its own. The work is counted at once.
func (w *workCounter) runInBackground(work func()) {
	w.mutex.Lock()
	w.count++
	w.mutex.Unlock()
	go func() {
		defer w.end()
		work()
	}()
}

func (w *workCounter) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.count--; w.count == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

// wait blocks until no work is in progress, or ctx ends.
func (w *workCounter) wait(ctx context.Context) {
	w.mutex.Lock()
	if w.count == 0 {
		w.mutex.Unlock()
		return
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	idle := w.idle
	w.mutex.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
