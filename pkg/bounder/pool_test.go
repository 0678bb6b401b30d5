package bounder

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPartsOfPool guards against a part that takes what is guaranteed to another, and against
// memory that nobody uses and nobody may take.
func TestPartsOfPool(t *testing.T) {
	pool := NewPool(100)
	requests, responses := pool.NewPart(10, 80), pool.NewPart(30, 50)
	assert.Equal(t, requests.Room(), int64(70))
	assert.Equal(t, responses.Room(), int64(50))
	requests.Use(60)
	assert.Equal(t, requests.Room(), int64(10))
	assert.Equal(t, responses.Room(), int64(40))
	responses.Use(40)
	assert.Equal(t, requests.Room(), int64(0))
	assert.Equal(t, responses.Room(), int64(0))
	requests.Use(-60)
	assert.Equal(t, requests.Room(), int64(60))
	assert.Equal(t, responses.Room(), int64(10))
	responses.Use(-40)
	assert.Equal(t, requests.Room(), int64(70))
}

// TestPoolIsNeverExceeded plays random uses within the room of each part: what is guaranteed can
// always be taken.
func TestPoolIsNeverExceeded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool := NewPool(1000)
	parts := []*Part{pool.NewPart(100, 900), pool.NewPart(300, 500), pool.NewPart(50, 60)}
	used := make([]int64, len(parts))
	for range 10_000 {
		i := random.IntN(len(parts))
		room := parts[i].Room()
		assert.Assert(t, used[i]+room >= parts[i].guaranteed, "part %d: %d used, room for %d", i, used[i], room)
		delta := random.Int64N(room+1) - random.Int64N(used[i]+1)
		parts[i].Use(delta)
		used[i] += delta
		assert.Assert(t, used[0]+used[1]+used[2] <= 1000)
		assert.Assert(t, used[i] >= 0 && used[i] <= parts[i].limit)
	}
}

// TestBudgetOfPart guards against responses that take what requests use.
func TestBudgetOfPart(t *testing.T) {
	pool := NewPool(1 << 20)
	requests := pool.NewPart(0, 1<<20)
	budget := NewBudgetOf(pool.NewPart(256<<10, 512<<10))
	requests.Use(600 << 10)
	share := budget.Open()
	assert.NilError(t, share.Resize(400<<10))
	assert.Assert(t, share.Resize(450<<10) != nil)
	requests.Use(-600 << 10)
	assert.NilError(t, share.Resize(450<<10))
	assert.Assert(t, share.Resize(513<<10) != nil)
	share.Close()
	assert.Equal(t, requests.Room(), int64(768<<10))
}
