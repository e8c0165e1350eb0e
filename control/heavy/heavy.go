// Package heavy finds heavy hitters in bounded memory: Space-Saving (Metwally, Agrawal and El Abbadi, 2005), over weights, so
// that forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009) gives rates: what is counted later weighs more, and all
// weights shrink alike with time, so that neither order nor bounds change while nothing is counted. It does no I/O and reads
// no clock.
//
// With k slots and a total weight W, a key's Count is never under its true weight and at most Err over it, Err is at most W/k,
// and every key of a true weight over W/k is held.
package heavy

import (
	"cmp"
	"hash/maphash"
	"math/bits"
	"slices"
)

const mostKey = 128 // bytes of a key; what is longer is cut there

type slot struct {
	hash uint64
	err  float64
	len  uint8
	key  [mostKey]byte
}

// entry is one of the index, with the hash beside it: looking for one reads nothing else.
type entry struct {
	hash uint64
	slot int32 // and 1; 0: free
}

// node is an entry of the heap; counts lie here, side by side, since ordering reads little else.
type node struct {
	count float64
	slot  int32
}

// Summary is a Space-Saving summary. Adding allocates nothing. It is not safe for use by several goroutines.
type Summary struct {
	seed  maphash.Seed
	slots []slot
	heap  []node  // the least count first
	at    []int32 // by slot: its place in the heap
	index []entry // by hash, open addressing with linear probes
	total float64
}

// New makes a summary of so many slots, at least 1.
func New(slots int) *Summary {
	slots = max(slots, 1)
	return &Summary{seed: maphash.MakeSeed(), slots: make([]slot, 0, slots), heap: make([]node, 0, slots),
		at: make([]int32, slots), index: make([]entry, 4<<bits.Len(uint(slots-1)))}
}

// find gives the place of a hash in the index, or the free one where it would go.
func (s *Summary) find(hash uint64) int {
	mask := len(s.index) - 1
	for i := int(hash) & mask; ; i = (i + 1) & mask {
		if v := &s.index[i]; v.slot == 0 || v.hash == hash {
			return i
		}
	}
}

// drop frees a place of the index and moves up what probed past it.
func (s *Summary) drop(i int) {
	mask := len(s.index) - 1
	for k := (i + 1) & mask; s.index[k].slot != 0; k = (k + 1) & mask {
		if home := int(s.index[k].hash) & mask; (k-home)&mask >= (k-i)&mask {
			s.index[i], i = s.index[k], k
		}
	}
	s.index[i] = entry{}
}

// Add counts a key with a weight. Two keys of one 64-bit hash (seeded anew at each start) count as one.
func (s *Summary) Add(key string, weight float64) {
	if len(key) > mostKey {
		key = key[:mostKey]
	}
	s.total += weight
	hash := maphash.String(s.seed, key)
	place := s.find(hash)
	if v := s.index[place].slot; v != 0 {
		at := int(s.at[v-1])
		s.heap[at].count += weight
		s.down(at)
		return
	}
	n := len(s.slots)
	if n < cap(s.slots) {
		s.slots = append(s.slots, slot{hash: hash})
		s.heap = append(s.heap, node{weight, int32(n)})
		s.at[n] = int32(n)
		s.index[place] = entry{hash, int32(n) + 1}
		s.take(int32(n), key)
		s.up(n)
		return
	}
	least := &s.heap[0]
	i := least.slot
	s.drop(s.find(s.slots[i].hash))
	s.slots[i].hash, s.slots[i].err = hash, least.count
	s.index[s.find(hash)] = entry{hash, i + 1}
	least.count += weight
	s.take(i, key)
	s.down(0)
}

func (s *Summary) take(i int32, key string) {
	s.slots[i].len = uint8(copy(s.slots[i].key[:], key))
}

func (s *Summary) swap(a, b int) {
	s.heap[a], s.heap[b] = s.heap[b], s.heap[a]
	s.at[s.heap[a].slot], s.at[s.heap[b].slot] = int32(a), int32(b)
}

func (s *Summary) up(i int) {
	for p := (i - 1) / 2; i > 0 && s.heap[i].count < s.heap[p].count; i, p = p, (p-1)/2 {
		s.swap(i, p)
	}
}

func (s *Summary) down(i int) {
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

// Scale multiplies all weights by a factor over 0: the landmark of forward decay moves.
func (s *Summary) Scale(factor float64) {
	s.total *= factor
	for i := range s.slots {
		s.heap[i].count *= factor
		s.slots[i].err *= factor
	}
}

// Scaled gives a copy whose weights are multiplied by a factor over 0. A copy is read only: it is not added to.
func (s *Summary) Scaled(factor float64) *Summary {
	c := &Summary{slots: slices.Clone(s.slots), heap: slices.Clone(s.heap), at: slices.Clone(s.at), total: s.total}
	if len(s.slots) < cap(s.slots) {
		c.slots = append(make([]slot, 0, len(s.slots)+1), s.slots...) // it has room left: nothing was put out
	} else {
		c.slots = slices.Clip(c.slots)
	}
	c.Scale(factor)
	return c
}

// Counter is one key that is held.
type Counter struct {
	Key   string
	Count float64 // at least the key's true weight
	Err   float64 // and at most so much over it
}

// Top gives the keys that are held, the heaviest first, at most so many.
func (s *Summary) Top(most int) []Counter {
	all := make([]Counter, 0, len(s.slots))
	for i := range s.slots {
		v := &s.slots[i]
		all = append(all, Counter{string(v.key[:v.len]), s.heap[s.at[i]].count, v.err})
	}
	return top(all, most)
}

func top(all []Counter, most int) []Counter {
	slices.SortFunc(all, func(a, b Counter) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return all[:min(most, len(all))]
}

// Total is the weight of all that was counted.
func (s *Summary) Total() float64 { return s.total }

// MaxUntracked is the most that the true weight of a key which is not held can be.
func (s *Summary) MaxUntracked() float64 {
	if len(s.slots) < cap(s.slots) {
		return 0
	}
	return s.heap[0].count
}

// Merge adds summaries up: counts of a key are summed, and where a summary does not hold it, its Slack goes into count and
// error, so that the bounds hold for the sum (Cafaro, Pulimeno and Tempesta, 2016).
func Merge(most int, parts ...*Summary) []Counter {
	type sum struct{ count, err float64 }
	sums := map[string]*sum{}
	slack := 0.0
	for _, p := range parts {
		slack += p.MaxUntracked()
	}
	for _, p := range parts {
		for _, c := range p.Top(len(p.slots)) {
			v := sums[c.Key]
			if v == nil {
				v = &sum{slack, slack}
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
	return top(all, most)
}
