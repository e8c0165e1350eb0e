package fleetlab

import (
	"context"
	"net/http"
	"sync"
	"time"

	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
)

// Times of the operators' requests and of the front that follows them.
const (
	operatorsTimeout = time.Second            // within which every request is answered
	unroutedAfter    = 200 * time.Millisecond // from the first "not ready" until the front opens no connection any more
	seriesInterval   = 90 * time.Millisecond  // between the requests of a series
)

// Requests of the operators.
const (
	evacuatePath = "/api/evacuate"
	rejoinPath   = "/api/rejoin"
)

// evacuate has the operators evacuate gatekeepers, in a series with a rejoin in between; undo has them rejoin.
func (f *fleet) evacuate(fault script.Fault) func(context.Context) {
	var affected []*gatekeeper
	var requests sync.WaitGroup
	for _, g := range f.selectedGatekeepers(fault.Target) {
		affected = append(affected, g)
		requests.Go(func() {
			f.operate(g, evacuatePath, fleetcheck.Evacuated)
			if fault.Series {
				time.Sleep(seriesInterval)
				f.operate(g, rejoinPath, fleetcheck.Rejoined)
				time.Sleep(seriesInterval)
				f.operate(g, evacuatePath, fleetcheck.Evacuated)
			}
		})
	}
	return func(context.Context) {
		requests.Wait()
		for _, g := range affected {
			f.operate(g, rejoinPath, fleetcheck.Rejoined)
		}
	}
}

// operate sends an operators' request to a gatekeeper, and records it if the answer is yes. A gatekeeper that is down or shutting down does
// not answer so.
func (f *fleet) operate(g *gatekeeper, path string, kind fleetcheck.Kind) {
	f.mu.Lock()
	addr := g.adminAddr
	f.mu.Unlock()
	resp, err := (&http.Client{Timeout: operatorsTimeout}).Post("http://"+addr+path, "", nil)
	if err != nil {
		return
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	f.runs.record(kind, line{Process: g.name})
	if kind == fleetcheck.Rejoined {
		f.callers.SetRouted(g.index, true)
		return
	}
	time.AfterFunc(unroutedAfter, func() { f.unrouteEvacuated(g, addr) })
}

// unrouteEvacuated has the front open no connection to a gatekeeper, if the process that was evacuated still runs and has not rejoined.
func (f *fleet) unrouteEvacuated(g *gatekeeper, addr string) {
	resp, err := (&http.Client{Timeout: operatorsTimeout}).Get("http://" + addr + "/api/ready")
	if err != nil {
		return
	}
	resp.Body.Close()
	f.callers.SetRouted(g.index, resp.StatusCode == http.StatusOK)
}
