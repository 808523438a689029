package controller

import "sync"

// broadcast notifies all waiting goroutines at once.
type broadcast struct {
	mutex   sync.Mutex
	channel chan struct{}
}

func newBroadcast() *broadcast {
	return &broadcast{channel: make(chan struct{})}
}

// wait returns a channel that is closed at the next notification. Callers must
// call it before they read the state that they wait for, so that no change is
// missed.
func (b *broadcast) wait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.channel
}

// notify wakes all current waiters.
func (b *broadcast) notify() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.channel)
	b.channel = make(chan struct{})
}
