// Package serial runs tasks one at a time in the order they were added. Each
// shard of state has one queue, which replaces a lock: a task may use that
// shard's state freely, and may add tasks to any queue, its own included,
// without a deadlock.
package serial

import "sync"

// Queue runs tasks in order. The zero value is ready. The goroutine that finds
// the queue idle runs tasks until none is left; others only add theirs. On a
// virtual clock everything runs on one goroutine and is deterministic.
type Queue struct {
	mutex sync.Mutex
	tasks []func()
	// spare is an empty slice to reuse for later tasks.
	spare   []func()
	running bool
}

// maxSpareTasks is the capacity up to which a slice of tasks is reused.
const maxSpareTasks = 64

// Do runs task after all tasks added before it. It may return before task has
// run.
func (q *Queue) Do(task func()) {
	q.mutex.Lock()
	q.tasks = append(q.tasks, task)
	if q.running {
		q.mutex.Unlock()
		return
	}
	q.running = true
	q.mutex.Unlock()
	q.drain()
}

// Wait runs task like Do and returns once it has run. It must not be called
// from a task of any queue.
func (q *Queue) Wait(task func()) {
	done := make(chan struct{})
	q.Do(func() {
		defer close(done)
		task()
	})
	<-done
}

func (q *Queue) drain() {
	var spare []func()
	for {
		q.mutex.Lock()
		if spare != nil {
			q.spare = spare
		}
		if len(q.tasks) == 0 {
			q.running = false
			q.mutex.Unlock()
			return
		}
		batch := q.tasks
		q.tasks, q.spare = q.spare, nil
		q.mutex.Unlock()
		for _, task := range batch {
			task()
		}
		spare = recycle(batch)
	}
}

// recycle returns a slice for later tasks, nil if it is too large to keep.
func recycle(batch []func()) []func() {
	if cap(batch) > maxSpareTasks {
		return nil
	}
	clear(batch)
	return batch[:0]
}
