package history

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"beammux/control"
)

// Counts are numbers of calls by outcome. Each call is counted at the time of its arrival.
type Counts struct {
	Offered, Served, Late, Refused, Failed, Gone int // Served within the class's aim, Late after it
}

// add adds other counts to c.
func (c *Counts) add(o Counts) {
	c.Offered += o.Offered
	c.Served += o.Served
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Gone += o.Gone
}

// Extremes are the minimum and the maximum of a value in a bin. Seen reports whether there is any value.
type Extremes struct {
	Lowest, Highest float64
	Seen            bool
}

// add includes a value.
func (x *Extremes) add(v float64) {
	if !x.Seen {
		*x = Extremes{v, v, true}
		return
	}
	x.Lowest, x.Highest = min(x.Lowest, v), max(x.Highest, v)
}

// merge includes other extremes.
func (x *Extremes) merge(o Extremes) {
	if o.Seen {
		x.add(o.Lowest)
		x.add(o.Highest)
	}
}

// View is a gatekeeper's estimate of a server's level and wait in a bin.
type View struct{ Level, Wait Extremes } // wait in microseconds

// Bin is one interval of the time series.
type Bin struct {
	Classes []Counts                // by class
	Delay   *hdrhistogram.Histogram // delay of established calls since their arrival, in ms; nil if there are none
	Views   map[ViewKey]View
}

// ViewKey identifies a gatekeeper's view of a server.
type ViewKey struct {
	Node   string
	Server uint32
}

// bin returns the bin of a time, nil for a time before the first bin.
func (f *Fleet) bin(at control.Micros) *Bin {
	if at < f.From {
		return nil
	}
	for int((at-f.From)/f.Width) >= maxBins {
		f.merge()
	}
	i := int((at - f.From) / f.Width)
	for len(f.Bins) <= i {
		f.Bins = append(f.Bins, Bin{})
	}
	return &f.Bins[i]
}

// merge doubles the width of the bins by merging each pair of neighbours.
func (f *Fleet) merge() {
	f.Width *= 2
	for i := 0; i < len(f.Bins); i += 2 {
		b := f.Bins[i]
		if i+1 < len(f.Bins) {
			b.merge(f.Bins[i+1])
		}
		f.Bins[i/2] = b
	}
	half := (len(f.Bins) + 1) / 2
	clear(f.Bins[half:])
	f.Bins = f.Bins[:half]
}

// merge merges another bin into b.
func (b *Bin) merge(o Bin) {
	for len(b.Classes) < len(o.Classes) {
		b.Classes = append(b.Classes, Counts{})
	}
	for i, c := range o.Classes {
		b.Classes[i].add(c)
	}
	switch {
	case b.Delay == nil:
		b.Delay = o.Delay
	case o.Delay != nil:
		b.Delay.Merge(o.Delay)
	}
	if b.Views == nil {
		b.Views = o.Views
		return
	}
	for pair, v := range o.Views {
		merged := b.Views[pair]
		merged.Level.merge(v.Level)
		merged.Wait.merge(v.Wait)
		b.Views[pair] = merged
	}
}
