package clientcrowd_test

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// maxMemoryMB is the memory in megabytes that the settings of the tests give a process.
	maxMemoryMB = 96
	// maxConnections is the number of client connections that the settings of the tests allow.
	maxConnections = 500
	// otherDescriptors is how many descriptors a process needs beside those of its clients.
	otherDescriptors = 100
	// instanceMemoryMB and instanceDescriptors are what an instance of the users has.
	instanceMemoryMB    = 206
	instanceDescriptors = 2870
	// fullCrowd is the number of clients of a full crowd, fullSilentCrowd that of clients who
	// only connect.
	fullCrowd       = 600
	fullSilentCrowd = 3000
)

// loweredLimits are the limits in the settings of the tests.
var loweredLimits = map[string]any{"memory_mb": maxMemoryMB, "max_client_connections": maxConnections}

// full makes the tests use the default limits and full crowds.
var full = flag.Bool("clientcrowd.full", false, "use the default limits and crowds of 600 clients or more")

// crowdSize returns the number of clients of a crowd.
func crowdSize(clients int) int {
	switch {
	case !*full:
		return clients
	case clients > fullCrowd:
		return fullSilentCrowd
	default:
		return fullCrowd
	}
}

// program is the path of the program. It is built without the race detector, whose own
// memory would hide what the program uses.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "clientcrowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "anvilpoint")
	build := exec.Command("go", "build", "-o", program, "github.com/anvilpoint/anvilpoint/cmd/anvilpoint")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running process of the program.
type process struct {
	command *exec.Cmd
	output  *bytes.Buffer
	// ended is closed when the process has ended.
	ended chan struct{}
	// maxDescriptors is the largest number of open descriptors seen. It is valid once
	// sampled is closed.
	maxDescriptors int
	sampled        chan struct{}
	stopSampling   chan struct{}
}

// startProgram runs a command of the program until the end of the test.
func startProgram(t *testing.T, name string, settings []byte) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), name+".json")
	must.NoError(t, os.WriteFile(file, settings, 0o600))
	p := &process{
		command: exec.Command(program, name, "--settings", file), output: new(bytes.Buffer),
		ended: make(chan struct{}), sampled: make(chan struct{}), stopSampling: make(chan struct{}),
	}
	p.command.Stdout, p.command.Stderr = p.output, p.output
	must.NoError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	go p.sampleDescriptors()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("last output of the process:\n%s", lastLines(p.output.String(), 20))
		}
	})
	return p
}

func lastLines(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(len(lines)-n, 0):], "\n")
}

func (p *process) file(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), name)
}

func (p *process) sampleDescriptors() {
	defer close(p.sampled)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			// The folder is missing once the process has ended.
			if open, err := os.ReadDir(p.file("fd")); err == nil {
				p.maxDescriptors = max(p.maxDescriptors, len(open))
			}
		case <-p.stopSampling:
			return
		}
	}
}

// check fails the test unless the process lives and its largest use of memory and of
// descriptors are within the bounds.
func (p *process) check(t *testing.T) {
	t.Helper()
	memory, descriptors := maxMemoryMB, maxConnections+otherDescriptors
	if *full {
		memory, descriptors = instanceMemoryMB, instanceDescriptors
	}
	close(p.stopSampling)
	<-p.sampled
	select {
	case <-p.ended:
		t.Fatalf("the process has ended: %v", p.command.ProcessState)
	default:
	}
	peak := p.peakMemoryMB(t)
	t.Logf("peak of resident memory %d MB, at most %d open descriptors", peak, p.maxDescriptors)
	must.LessEq(t, memory, peak, must.Sprint("peak of resident memory in MB"))
	must.LessEq(t, descriptors, p.maxDescriptors, must.Sprint("open descriptors"))
}

// peakMemoryMB returns the peak of the resident memory of the process in megabytes.
func (p *process) peakMemoryMB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(p.file("status"))
	must.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		value, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
		must.NoError(t, err)
		return kilobytes >> 10
	}
	t.Fatal("the kernel does not report the peak of resident memory")
	return 0
}

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}
