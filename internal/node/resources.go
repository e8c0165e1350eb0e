package node

import (
	"runtime"
	"sync/atomic"

	"beammux/internal/protocol/sip"
	"beammux/internal/transport"
)

// Division of the memory limit.
const (
	defaultMemoryMB  = 1024     // if the configuration sets no limit
	baseMemory       = 12 << 20 // bytes of a gatekeeper without clients
	connectionMemory = 32 << 10 // bytes of a connection: its read buffer and the stacks of its goroutines
	collectorReserve = 2        // of what is left, 1/collectorReserve is for garbage between two collections
	outputShare      = 4        // of the rest, 1/outputShare is for answers that wait to be written
	datagramShare    = 3        // of the rest, 1/datagramShare is for requests in datagrams, if there are any
	clientShare      = 3        // clients hold at most 1/clientShare of the descriptors, by the protocol
	minClientMemory  = 1 << 20  // bytes for clients' messages, however low the limit is
)

// RuntimeMemory returns the part of a memory limit in MB that the Go runtime may use, in bytes. The rest is for memory that the runtime does
// not count, and for the time that it needs to return memory.
func RuntimeMemory(limitMB int) int64 { return int64(limitMB) << 20 * 7 / 10 }

// clientMemory divides what the memory limit leaves for the messages of clients.
func clientMemory(limitMB, descriptors int, datagrams bool) (m transport.ClientMemory) {
	if limitMB <= 0 {
		limitMB = defaultMemoryMB
	}
	left := int(RuntimeMemory(limitMB)) - baseMemory - descriptors*connectionMemory
	forMessages := max(left/collectorReserve, minClientMemory)
	clients := descriptors / clientShare
	output, requests := forMessages/outputShare, forMessages-forMessages/outputShare
	m.Output = transport.NewMemoryBudget(output, clients)
	if datagrams {
		m.Datagrams = transport.NewMemoryBudget(requests/datagramShare, clients)
		requests -= requests / datagramShare
	}
	m.Requests = transport.NewMemoryBudget(requests, clients)
	return m
}

// newScheduler returns a scheduler that processes as many clients' messages at a time as there are processors. agent holds the SIP front
// once that is open.
func (n *Node) newScheduler(agent *atomic.Pointer[sip.Agent]) *transport.Scheduler {
	return transport.NewScheduler(runtime.GOMAXPROCS(0), func() {
		if a := agent.Load(); a != nil {
			a.Sync()
		}
		n.core.Sync()
	})
}
