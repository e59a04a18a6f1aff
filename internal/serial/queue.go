// Package serial runs tasks one at a time in the order they were given. Each
// shard of state owns one queue, which takes the place of a lock: a task may
// touch that shard's state freely, and may hand tasks to any queue, its own
// included, without a deadlock.
package serial

import "sync"

// Queue runs tasks in order. The zero value is ready. The goroutine that finds
// the queue idle runs tasks until none is left; others only add theirs. On a
// virtual clock everything happens on one goroutine and stays deterministic.
type Queue struct {
	mutex sync.Mutex
	tasks []func()
	// spare is an empty slice that is used again for later tasks.
	spare   []func()
	running bool
}

// keptTasks is the longest slice of tasks that is kept for later ones.
const maxSpareTasks = 64

// Do runs task after all tasks given before it. It may return before task ran.
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
// from inside a task of any queue.
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

// emptied returns a slice for later tasks, nil if it had better be dropped.
func recycle(batch []func()) []func() {
	if cap(batch) > maxSpareTasks {
		return nil
	}
	clear(batch)
	return batch[:0]
}
