package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is a process of the system on its own loopback address.
type node struct {
	name, ip, settings string
	client, probe      string
	cmd                *exec.Cmd
	log                *os.File
}

// freePorts returns n free ports of an address.
func freePorts(ip string, n int) ([]int, error) {
	for range 50 {
		var ls []net.Listener
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		ls = append(ls, l)
		first := l.Addr().(*net.TCPAddr).Port
		ports := []int{first}
		for p := first + 1; p < first+n; p++ {
			if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p)); err == nil {
				ls, ports = append(ls, l), append(ports, p)
			}
		}
		for _, l := range ls {
			_ = l.Close()
		}
		if len(ports) == n {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports at %s", n, ip)
}

// newNode writes the settings of a node. StoreAddr is where it reaches the store.
func newNode(dir string, i int, storeAddr, advisor string) (*node, error) {
	ip := fmt.Sprintf("127.0.77.%d", 10+i)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("edge-%d", i), ip: ip, settings: filepath.Join(dir, fmt.Sprintf("edge-%d.toml", i))}
	n.client, n.probe = fmt.Sprintf("%s:%d", ip, ports[2]), fmt.Sprintf("%s:%d", ip, ports[3])
	text := fmt.Sprintf(`NodeName = %q
Role = "node"
MachineClass = "edge"
Serves = ["edge"]
Ip = %q
Zone = "ktm-patan"
Region = "kathmandu"
EphemeralPorts = [%d,%d]
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1500
Commands = "request"
Recommendation = %q
[Zones]
ktm-patan = "kathmandu"
[ListenAddrs]
Frontend = %q
Readiness = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4200
LinkMbps = 1000.0
[Bounds]
HoldMaxMs = 6000
StopTimeoutMs = 200
GangTimeoutMs = 3000
GraceS = 6
MaxSkewMs = 6000
RemotePenalty = 3
status_s = 120
[platform]
Address = %q
form = "table"
WritesPerS = 600
ReadsPerS = 2000
`, n.name, ip, ports[0], ports[1], advisor, n.client, n.probe, storeAddr)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start(dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.log = log
	n.cmd = exec.Command("target/chicoryturn", "node")
	n.cmd.Env = append(os.Environ(), "CHICORYTURN_NODE_FILE="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	// The process ends with this one.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

// kill ends the process.
func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		_ = n.log.Close()
		n.cmd = nil
	}
}

// ready reports whether the node answers its probe with 200.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.probe + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call makes a requester's call at the node. Status is 0 without an answer.
func (n *node) call(method, host, path, key, body string) (status int, answer string) {
	req, err := http.NewRequest(method, "http://"+n.client+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	req.Close = true
	c := http.Client{Timeout: 3 * time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}
