package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// nodeCommand is the command of the deploy file, relative to the root of the repository.
	nodeCommand = "target/flamingotack-platform"
	// settingsVariable holds the path of the settings file of a node.
	settingsVariable = "FLAMINGOTACK_SETTINGS"
	region           = "cape-west"
)

var (
	// zones are the failure domains of the deployment.
	zones = []string{"paarl-a", "worcester-b", "stbosch-c"}

	// started holds the processes that the trial has started.
	started struct {
		mu        sync.Mutex
		processes []*os.Process
	}
)

type (
	// ports are the ports that are the same on all machines.
	ports struct {
		inbound, outbound, ready, control, app int
		// first and last bound the range for the communication between nodes.
		first, last int
	}

	// node is a process of the program under test on a machine with an address of its own.
	node struct {
		name, zone, service, ip string
		ports                   ports
		settingsPath            string
		root                    string
		log                     *os.File
		process                 *exec.Cmd
		exited                  chan struct{}
	}
)

// outbound returns the address to which the clients and the server on the machine send.
func (n *node) outbound() string { return address(n.ip, n.ports.outbound) }

// control returns the address to which the server on the machine sends its heartbeats.
func (n *node) control() string { return address(n.ip, n.ports.control) }

// app returns the address of the server on the machine.
func (n *node) app() string { return address(n.ip, n.ports.app) }

// metrics returns the URL of the metrics of the process.
func (n *node) metrics() string { return "http://" + address(n.ip, n.ports.last) + "/metrics" }

func address(ip string, port int) string {
	return net.JoinHostPort(ip, fmt.Sprint(port))
}

// freePorts returns ports that are free on an address. The same ports are used on the other
// addresses, which only this trial uses.
func freePorts(ip string) (p ports, err error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	for _, port := range []*int{&p.inbound, &p.outbound, &p.ready, &p.control, &p.app} {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return p, err
		}
		listeners = append(listeners, l)
		*port = l.Addr().(*net.TCPAddr).Port
	}
	for first := 20000; first < 30000; first += 16 {
		low, lowErr := net.Listen("tcp4", address(ip, first))
		high, highErr := net.Listen("tcp4", address(ip, first+15))
		if lowErr == nil {
			low.Close()
		}
		if highErr == nil {
			high.Close()
		}
		if lowErr == nil && highErr == nil {
			p.first, p.last = first, first+15
			return p, nil
		}
	}
	return p, errors.New("no free range of ports")
}

// writeSettings writes the settings file as the platform does.
func (n *node) writeSettings(dir, storeAddress string, bounds []string) error {
	domains := map[string]string{}
	for _, z := range zones {
		domains[z] = region
	}
	settings := map[string]any{
		"nodeName": n.name, "role": "node", "machineClass": "sidecar", "serves": []string{"sidecar"},
		"ip": n.ip, "zone": n.zone, "region": region, "zones": domains,
		"listenAddrs": map[string]string{
			"inbound": address(n.ip, n.ports.inbound), "outbound": n.outbound(),
			"ready": address(n.ip, n.ports.ready), "control": n.control(),
		},
		"portRange": []int{n.ports.first, n.ports.last}, "seeds": []string{}, "bootstrap": true, "countsTowardLoss": false,
		"limits":    map[string]any{"cpuShare": 0.64, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0},
		"discovery": "static", "entry": "static", "heartbeat": "1500ms",
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "pressure", "tenants", "quota", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds":         bounds, "appAddr": n.app(), "service": n.service,
		"platform": map[string]any{"address": storeAddress, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 12, "append": "2ms"},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	n.settingsPath = filepath.Join(dir, n.name+".json")
	return os.WriteFile(n.settingsPath, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() (err error) {
	if n.log == nil {
		if n.log, err = os.Create(strings.TrimSuffix(n.settingsPath, ".json") + ".log"); err != nil {
			return err
		}
	}
	n.process = exec.Command(filepath.Join(n.root, nodeCommand))
	n.process.Dir = n.root
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + n.settingsPath}
	n.process.Stdout, n.process.Stderr = n.log, n.log
	if err := n.process.Start(); err != nil {
		return err
	}
	started.mu.Lock()
	started.processes = append(started.processes, n.process.Process)
	started.mu.Unlock()
	exited, process := make(chan struct{}), n.process
	n.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	_ = n.process.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	if n.process == nil || n.process.Process == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	_ = n.process.Process.Kill()
	<-n.exited
}

// metric returns the value of a metric of the process, as text; empty if it has none.
func (n *node) metric(name string) string {
	response, err := http.Get(n.metrics())
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), name) {
			fields := strings.Fields(lines.Text())
			return fields[len(fields)-1]
		}
	}
	return ""
}

// isReady reports whether the node answers 200 at its ready address.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(n.ip, n.ports.ready)+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// killStartedNodes ends all processes that the trial has started.
func killStartedNodes() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		_ = p.Kill()
	}
}
