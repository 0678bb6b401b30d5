package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

// front is the store as the machines and the others reach it. It can be away for a moment.
type front struct {
	store *emulator.Store

	mu   sync.Mutex
	away bool
}

func (f *front) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

func (f *front) isAway() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.away
}

// ServeHTTP answers a call. While the store is away, no call of a machine gets an answer, also
// none that began before; its connection is closed.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/emulator/") {
		// What the operator and the workers write is taken by the emulator directly.
		f.store.ServeHTTP(w, r)
		return
	}
	if f.isAway() {
		panic(http.ErrAbortHandler)
	}
	answer := httptest.NewRecorder()
	f.store.ServeHTTP(answer, r)
	if f.isAway() {
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// drill lets the store come back from a copy of the given age after it has been away.
func (c *cluster) drill(away, age time.Duration) {
	time.Sleep(away)
	c.front.store.ComeBack(age)
	c.front.setAway(false)
	c.record.printf("the store is back, from a copy %v old", age)
}
