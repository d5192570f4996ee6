package lane

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const patience = 100 * time.Millisecond

// TestCallsWaitNoLongerThanThePatience guards against calls that all wait for one which gets no response, and
// against calls beside each other without need.
func TestCallsWaitNoLongerThanThePatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		var slow []string
		l := New(patience, WithOnSlow(func(key string) { slow = append(slow, key) }))
		ended := make(chan struct{})
		go func() {
			l.Serve(ctx)
			close(ended)
		}()
		start := time.Now()
		var mu sync.Mutex
		begun := make(map[string]time.Duration)
		add := func(key string, takes time.Duration) {
			l.Add(key, func(ctx context.Context) {
				mu.Lock()
				begun[key] = time.Since(start)
				mu.Unlock()
				select {
				case <-ctx.Done():
				case <-time.After(takes):
				}
			})
		}
		for _, key := range []string{"a", "b", "c", "d"} {
			add(key, time.Hour)
		}
		add("a", time.Hour)
		add("e", time.Millisecond)
		add("f", time.Millisecond)
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(begun).To(Equal(map[string]time.Duration{"a": 0, "b": patience, "c": 2 * patience, "d": 3 * patience}))
		g.Expect(slow).To(Equal([]string{"a", "b", "c", "d"}))
		l.Cancel(func(key string) bool { return key == "b" })
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		g.Expect(begun).To(HaveKeyWithValue("e", time.Second))
		g.Expect(begun).To(HaveKeyWithValue("f", time.Second+time.Millisecond), "one after the other")
		cancel()
		<-ended
	})
}

// TestCallsLeftOut guards against calls that the filter excludes, and a queue that grows without bound.
func TestCallsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := New(patience, WithQueue[int](3), WithFilter(func(key int) bool { return key != 1 }))
		var ran []int
		for key := range 5 {
			l.Add(key, func(context.Context) { ran = append(ran, key) })
		}
		ended := make(chan struct{})
		go func() {
			l.Serve(ctx)
			close(ended)
		}()
		synctest.Wait()
		g.Expect(slices.Clone(ran)).To(Equal([]int{0, 2}))
		cancel()
		<-ended
	})
}
