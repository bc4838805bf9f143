// Package node runs the project's node program as a process, with the settings of a small
// deployment.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// GracePeriod is the time between SIGTERM and SIGKILL, as the settings name it.
const GracePeriod = 6 * time.Second

type (
	// Settings are what differs between the nodes of a deployment.
	Settings struct {
		// Name, Zone and Service are the node's name, its zone and the service beside it.
		Name, Zone, Service string
		// IP is a loopback address that no other node has.
		IP string
		// BackendAddress and StoreAddress are those of the backend server and the store.
		BackendAddress, StoreAddress string
		// MemoryMegabytes is the memory of the machine in millions of bytes.
		MemoryMegabytes int
	}

	// Node is a node process, which may be started again. It is safe for concurrent use.
	Node struct {
		Settings

		// CallerAddress, ReadyAddress and HeartbeatAddress are the addresses that the node
		// serves.
		CallerAddress, ReadyAddress, HeartbeatAddress string

		program, settingsPath, logPath string

		mu      sync.Mutex
		command *exec.Cmd
		ended   chan struct{}
	}
)

// New writes the settings file of a node to directory. program is the path of the program.
func New(s Settings, program, directory string) (n *Node, err error) {
	ports, err := freePorts(s.IP, 3)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", s.Name, err)
	}
	first, err := freeRange(s.IP, 16)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", s.Name, err)
	}
	n = &Node{
		Settings:         s,
		CallerAddress:    net.JoinHostPort(s.IP, strconv.Itoa(ports[0])),
		ReadyAddress:     net.JoinHostPort(s.IP, strconv.Itoa(ports[1])),
		HeartbeatAddress: net.JoinHostPort(s.IP, strconv.Itoa(ports[2])),
		program:          program,
		settingsPath:     filepath.Join(directory, s.Name+".json"),
		logPath:          filepath.Join(directory, s.Name+".log"),
	}
	data, err := json.Marshal(map[string]any{
		"nodeName": s.Name, "role": "node", "machineClass": "sidecar", "serves": []string{"sidecar"},
		"ip": s.IP, "zone": s.Zone, "region": "r",
		"zones":       map[string]string{"za": "r", "zb": "r", "zc": "r"},
		"listenAddrs": map[string]string{"outbound": n.CallerAddress, "ready": n.ReadyAddress, "control": n.HeartbeatAddress},
		"portRange":   []int{first, first + 15},
		"limits":      map[string]any{"memoryMb": s.MemoryMegabytes, "maxFds": 4100},
		"heartbeat":   "1500ms",
		"bounds": []string{"contact=3000ms", "ack=4000ms", "drain=2000ms", "grace=6s", "lossSlack=200ms", "configApply=2000ms", "revertSlack=250ms",
			"retryBudgetRatio=0.2", "budgetWindow=10s", "retrySlack=48", "quotaWindow=5s", "quotaOver=0.1", "quotaSlack=20", "warmupOver=1.5", "warmupSlack=5", "evacuate=5000ms"},
		"appAddr": s.BackendAddress, "service": s.Service,
		"platform": map[string]any{"address": s.StoreAddress, "form": "log"},
	})
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settingsPath, data, 0o600)
}

// Start starts the process. It appends its output to a file beside the settings.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(n.program)
	command.Env = append(os.Environ(), "FLAMINGOTACK_SETTINGS="+n.settingsPath)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.command, n.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Signal(s)
}

// Ended is closed when the process has ended.
func (n *Node) Ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended
}

// Lives reports whether the process has not ended.
func (n *Node) Lives() bool {
	select {
	case <-n.Ended():
		return false
	default:
		return true
	}
}

// Kill ends the process at once, if it was started, and waits for its end.
func (n *Node) Kill() {
	if n.Ended() == nil {
		return
	}
	_ = n.Signal(syscall.SIGKILL)
	<-n.Ended()
}

// Terminate sends SIGTERM, waits for the end of the process and kills it after GracePeriod.
func (n *Node) Terminate() {
	_ = n.Signal(syscall.SIGTERM)
	select {
	case <-n.Ended():
	case <-time.After(GracePeriod):
		n.Kill()
	}
}

// AwaitReady waits until the node says that it is ready.
func (n *Node) AwaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + n.ReadyAddress + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s not ready within %s", n.Name, timeout)
}

// LogPath returns the path of the file with the output of the process.
func (n *Node) LogPath() string {
	return n.logPath
}

// freePorts returns ports of ip that are free at the moment.
func freePorts(ip string, count int) (ports []int, err error) {
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// freeRange returns the first of count ports of ip of which the first and the last are free.
func freeRange(ip string, count int) (first int, err error) {
	for first = 7000; first < 30000; first += count {
		if isFree(ip, first) && isFree(ip, first+count-1) {
			return first, nil
		}
	}
	return 0, errors.New("no free range of ports")
}

func isFree(ip string, port int) bool {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return false
	}
	listener.Close()
	return true
}
