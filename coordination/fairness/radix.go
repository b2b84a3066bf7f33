package fairness

import "math/bits"

const radixBuckets = 65

// node is an element of a radix queue. It can be in at most one queue at a time.
type node[T any] struct {
	key    uint64
	value  T
	bucket int
	index  int
	queued bool
}

// radixQueue is a monotone priority queue: its floor never decreases. Bucket 0 holds the
// keys that equal the floor, and bucket b the keys whose highest bit that differs from
// the floor is bit b-1. An element only moves to lower buckets until it is removed, so
// each operation is O(1) amortised, independent of the number of elements.
type radixQueue[T any] struct {
	floor   uint64
	buckets [radixBuckets][]*node[T]
	count   int
}

// insert adds e with the given key, or with the floor if that is greater.
func (r *radixQueue[T]) insert(e *node[T], key uint64) {
	e.key = max(key, r.floor)
	e.queued = true
	r.count++
	r.place(e)
}

func (r *radixQueue[T]) place(e *node[T]) {
	e.bucket = bits.Len64(e.key ^ r.floor)
	e.index = len(r.buckets[e.bucket])
	r.buckets[e.bucket] = append(r.buckets[e.bucket], e)
}

// remove removes e. It has no effect if e is not in the queue.
func (r *radixQueue[T]) remove(e *node[T]) {
	if !e.queued {
		return
	}
	b := r.buckets[e.bucket]
	last := len(b) - 1
	b[e.index] = b[last]
	b[e.index].index = e.index
	b[last] = nil
	r.buckets[e.bucket] = b[:last]
	e.queued = false
	r.count--
}

// pop raises the floor to the lowest key, and removes and returns an element with that
// key.
func (r *radixQueue[T]) pop() *node[T] {
	if r.count == 0 {
		return nil
	}
	if len(r.buckets[0]) == 0 {
		b := 1
		for len(r.buckets[b]) == 0 {
			b++
		}
		least := r.buckets[b][0].key
		for _, e := range r.buckets[b] {
			least = min(least, e.key)
		}
		r.redistribute(b, least)
	}
	e := r.buckets[0][0]
	r.remove(e)
	return e
}

// popThrough raises the floor to the given key, and removes and returns all elements
// whose key is at or below it.
func (r *radixQueue[T]) popThrough(floor uint64) []*node[T] {
	if floor < r.floor {
		return nil
	}
	// Buckets below that of the new floor hold only lower keys, buckets above it only
	// higher ones.
	top := bits.Len64(floor ^ r.floor)
	var out []*node[T]
	for b := range top {
		out = r.drainBucket(b, out)
	}
	r.redistribute(top, floor)
	return r.drainBucket(0, out)
}

func (r *radixQueue[T]) drainBucket(b int, out []*node[T]) []*node[T] {
	for len(r.buckets[b]) > 0 {
		e := r.buckets[b][len(r.buckets[b])-1]
		r.remove(e)
		out = append(out, e)
	}
	return out
}

// redistribute sets the floor and moves the elements of bucket b to lower ones.
// Elements below the floor go to bucket 0.
func (r *radixQueue[T]) redistribute(b int, floor uint64) {
	r.floor = floor
	if b == 0 {
		return
	}
	moving := r.buckets[b]
	r.buckets[b] = moving[:0]
	for i, e := range moving {
		moving[i] = nil
		if e.key < floor {
			e.key = floor
		}
		r.place(e)
	}
}
