package scalelab

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Telemetry is requested rarely, because serving it takes processor time that would count as cost of control.
const (
	telemetryInterval = 5 * time.Second
	telemetryTimeout  = time.Second
)

// runtimeSample is one sample of the Go runtime of a control machine. heap is in bytes.
type runtimeSample struct {
	machine          int
	at               time.Duration
	heap, goroutines float64
}

// sampleRuntime requests the telemetry of a control machine periodically until ctx ends.
func (l *laboratory) sampleRuntime(ctx context.Context, machine int, m *machine) {
	tick := time.NewTicker(telemetryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !m.up() {
			continue
		}
		values, err := readTelemetry(ctx, m.adminAddress)
		if err != nil {
			continue // the machine is suspended or was just killed
		}
		l.eventLog.mu.Lock()
		l.runtimeSamples = append(l.runtimeSamples, runtimeSample{machine, time.Since(l.runStart), values["proxy_control_heap_bytes"], values["proxy_control_goroutines"]})
		l.eventLog.mu.Unlock()
	}
}

// readTelemetry returns the metrics of a process that have no labels, by name.
func readTelemetry(ctx context.Context, address string) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, telemetryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/telemetry", nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", address, response.Status)
	}
	values := map[string]float64{}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = value
		}
	}
	return values, nil
}
