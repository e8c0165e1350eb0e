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
	telemetryEvery  = 5 * time.Second
	telemetryWithin = time.Second
)

// runtimeSample is one sample of the Go runtime of a control machine. heap is in bytes.
type runtimeSample struct {
	machine          int
	at               time.Duration
	heap, goroutines float64
}

// sampleRuntime requests the telemetry of a control machine periodically until ctx ends.
func (l *laboratory) sampleRuntime(ctx context.Context, machine int, m *machine) {
	tick := time.NewTicker(telemetryEvery)
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
		values, err := telemetry(ctx, m.admin)
		if err != nil {
			continue // the machine is suspended or was just killed
		}
		l.record.mu.Lock()
		l.runtimes = append(l.runtimes, runtimeSample{machine, time.Since(l.began), values["proxy_control_heap_bytes"], values["proxy_control_goroutines"]})
		l.record.mu.Unlock()
	}
}

// telemetry returns the metrics of a process that have no labels, by name.
func telemetry(ctx context.Context, address string) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, telemetryWithin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/telemetry", nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", address, answer.Status)
	}
	values := map[string]float64{}
	for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = value
		}
	}
	return values, nil
}
