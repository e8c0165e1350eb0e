// Package heavy finds heavy hitters in bounded memory. It implements Space-Saving (Metwally, Agrawal and El Abbadi, 2005)
// over weights, so that forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009) gives rates: later counts weigh
// more, and all weights shrink alike with time, so that neither the order nor the bounds change while nothing is counted.
// It does no I/O and reads no clock.
//
// With k slots and a total weight W, the Count of a key is at least its true weight and at most Err more, Err is at most
// W/k, and every key with a true weight above W/k is tracked.
package heavy

import (
	"cmp"
	"hash/maphash"
	"math/bits"
	"slices"
)

const maxKeyLength = 128 // bytes; longer keys are truncated

// slot holds one tracked key.
type slot struct {
	hash     uint64
	maxError float64
	len      uint8
	key      [maxKeyLength]byte
}

// entry is an entry of the hash index. It contains the hash, so that a lookup reads nothing else.
type entry struct {
	hash uint64
	slot int32 // slot number plus 1; 0: free
}

// node is a node of the heap. The counts are stored here, side by side, since ordering reads little else.
type node struct {
	count float64
	slot  int32
}

// Summary is a Space-Saving summary. Add does not allocate. A Summary is not safe for concurrent use.
type Summary struct {
	seed      maphash.Seed
	slots     []slot
	heap      []node  // min-heap by count
	heapIndex []int32 // by slot: position in the heap
	index     []entry // hash table with open addressing and linear probing
	total     float64
}

// New returns a summary with a number of slots, at least 1.
func New(slots int) *Summary {
	slots = max(slots, 1)
	return &Summary{seed: maphash.MakeSeed(), slots: make([]slot, 0, slots), heap: make([]node, 0, slots),
		heapIndex: make([]int32, slots), index: make([]entry, 4<<bits.Len(uint(slots-1)))}
}

// lookup returns the position of a hash in the index, or the free position where it would be inserted.
func (s *Summary) lookup(hash uint64) int {
	mask := len(s.index) - 1
	for i := int(hash) & mask; ; i = (i + 1) & mask {
		if v := &s.index[i]; v.slot == 0 || v.hash == hash {
			return i
		}
	}
}

// deleteEntry frees a position of the index and moves back the entries that were probed past it.
func (s *Summary) deleteEntry(i int) {
	mask := len(s.index) - 1
	for k := (i + 1) & mask; s.index[k].slot != 0; k = (k + 1) & mask {
		if home := int(s.index[k].hash) & mask; (k-home)&mask >= (k-i)&mask {
			s.index[i], i = s.index[k], k
		}
	}
	s.index[i] = entry{}
}

// Add counts a key with a weight. Two keys with the same 64-bit hash (its seed is random for each summary) count as one.
func (s *Summary) Add(key string, weight float64) {
	if len(key) > maxKeyLength {
		key = key[:maxKeyLength]
	}
	s.total += weight
	hash := maphash.String(s.seed, key)
	entryIndex := s.lookup(hash)
	if v := s.index[entryIndex].slot; v != 0 {
		heapIndex := int(s.heapIndex[v-1])
		s.heap[heapIndex].count += weight
		s.siftDown(heapIndex)
		return
	}
	n := len(s.slots)
	if n < cap(s.slots) {
		s.slots = append(s.slots, slot{hash: hash})
		s.heap = append(s.heap, node{weight, int32(n)})
		s.heapIndex[n] = int32(n)
		s.index[entryIndex] = entry{hash, int32(n) + 1}
		s.setKey(int32(n), key)
		s.siftUp(n)
		return
	}
	least := &s.heap[0]
	i := least.slot
	s.deleteEntry(s.lookup(s.slots[i].hash))
	s.slots[i].hash, s.slots[i].maxError = hash, least.count
	s.index[s.lookup(hash)] = entry{hash, i + 1}
	least.count += weight
	s.setKey(i, key)
	s.siftDown(0)
}

// setKey stores the key of a slot.
func (s *Summary) setKey(i int32, key string) {
	s.slots[i].len = uint8(copy(s.slots[i].key[:], key))
}

func (s *Summary) swap(a, b int) {
	s.heap[a], s.heap[b] = s.heap[b], s.heap[a]
	s.heapIndex[s.heap[a].slot], s.heapIndex[s.heap[b].slot] = int32(a), int32(b)
}

func (s *Summary) siftUp(i int) {
	for p := (i - 1) / 2; i > 0 && s.heap[i].count < s.heap[p].count; i, p = p, (p-1)/2 {
		s.swap(i, p)
	}
}

func (s *Summary) siftDown(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(s.heap); c++ {
			if s.heap[c].count < s.heap[least].count {
				least = c
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}

// Scale multiplies all weights by a positive factor, which moves the landmark of forward decay.
func (s *Summary) Scale(factor float64) {
	s.total *= factor
	for i := range s.slots {
		s.heap[i].count *= factor
		s.slots[i].maxError *= factor
	}
}

// Scaled returns a copy whose weights are multiplied by a positive factor. The copy is read-only: nothing may be added to
// it.
func (s *Summary) Scaled(factor float64) *Summary {
	c := &Summary{slots: slices.Clone(s.slots), heap: slices.Clone(s.heap), heapIndex: slices.Clone(s.heapIndex), total: s.total}
	if len(s.slots) < cap(s.slots) {
		c.slots = append(make([]slot, 0, len(s.slots)+1), s.slots...) // free slots remain: no key was evicted
	} else {
		c.slots = slices.Clip(c.slots)
	}
	c.Scale(factor)
	return c
}

// Counter is a tracked key with its count.
type Counter struct {
	Key   string
	Count float64 // at least the true weight of the key
	Err   float64 // largest amount by which Count exceeds the true weight
}

// Top returns the tracked keys, heaviest first, up to a limit.
func (s *Summary) Top(limit int) []Counter {
	all := make([]Counter, 0, len(s.slots))
	for i := range s.slots {
		v := &s.slots[i]
		all = append(all, Counter{string(v.key[:v.len]), s.heap[s.heapIndex[i]].count, v.maxError})
	}
	return top(all, limit)
}

func top(all []Counter, limit int) []Counter {
	slices.SortFunc(all, func(a, b Counter) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return all[:min(limit, len(all))]
}

// Total returns the total weight of everything counted.
func (s *Summary) Total() float64 { return s.total }

// MaxUntracked returns the upper bound on the true weight of a key that is not tracked.
func (s *Summary) MaxUntracked() float64 {
	if len(s.slots) < cap(s.slots) {
		return 0
	}
	return s.heap[0].count
}

// Merge adds up summaries. The counts of a key are summed; where a summary does not track it, the bound MaxUntracked of
// that summary is added to count and error, so that the bounds hold for the sum (Cafaro, Pulimeno and Tempesta, 2016). At
// most limit keys are returned, heaviest first.
func Merge(limit int, parts ...*Summary) []Counter {
	type sum struct{ count, err float64 }
	sums := map[string]*sum{}
	maxUntracked := 0.0
	for _, p := range parts {
		maxUntracked += p.MaxUntracked()
	}
	for _, p := range parts {
		for _, c := range p.Top(len(p.slots)) {
			v := sums[c.Key]
			if v == nil {
				v = &sum{maxUntracked, maxUntracked}
				sums[c.Key] = v
			}
			v.count += c.Count - p.MaxUntracked()
			v.err += c.Err - p.MaxUntracked()
		}
	}
	all := make([]Counter, 0, len(sums))
	for key, v := range sums {
		all = append(all, Counter{key, v.count, max(0, v.err)})
	}
	return top(all, limit)
}
