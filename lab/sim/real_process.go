package sim

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"spanflow/internal/emulator"
	"spanflow/lab/scenario"
)

// process is one forwarder.
type process struct {
	run    *realRun
	number int
	name   string
	listen string
	config string
	folder string
	log    *os.File
	cmd    *exec.Cmd
	ended  chan struct{}
	conns  chan net.Conn

	// Under the day's lock:
	stalledUntil float64 // it stands still until this moment of the day
	killed       bool    // its process was killed and no other has begun
	runEnded     bool    // the day has ended: no other begins
}

// newProcess makes a forwarder's configuration.
func (d *realRun) newProcess(n int) (*process, error) {
	p := &process{run: d, number: n, name: fmt.Sprint("n", n), conns: make(chan net.Conn, 16)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.listen = ln.Addr().String()
	ln.Close()
	p.folder = filepath.Join(d.Folder, p.name)
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return nil, err
	}
	p.config = filepath.Join(d.Folder, p.name+".json")
	text, err := json.Marshal(map[string]any{"name": p.name, "listen": p.listen, "discovery": d.discovery.Addr, "seed": fmt.Sprintf("%016x", d.random.Uint64()),
		"limits": map[string]any{"cores": 1, "memory_mb": d.Memory, "sockets": d.Sockets, "disk_mb": 8}, "known": json.RawMessage(d.discovery.Known()),
		"settings": platformSettings(d.scenario, n)})
	if err == nil {
		err = os.WriteFile(p.config, text, 0o600)
	}
	if err == nil {
		p.log, err = os.Create(filepath.Join(d.Folder, p.name+".log"))
	}
	return p, err
}

// platformSettings are a scene's terms in the platform's form.
func platformSettings(s *scenario.Scenario, n int) map[string]any {
	ms := func(seconds float64) float64 { return seconds * 1000 }
	var classes, tenants []map[string]any
	words := map[string]string{"replayable": "retryable", "numbered": "dedup", "binding": "fragile"}
	for _, t := range s.Types {
		classes = append(classes, map[string]any{"Name": t.Name, "Idempotency": words[t.Idempotency], "Group": t.Group, "Sequential": t.InOrder,
			"Slo": ms(float64(t.LatencyObjective)), "HardLimit": ms(float64(t.TimeToLive)), "MemorySpan": ms(float64(t.DeduplicationWindow))})
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"Name": t.Name, "QuotaRps": t.PerSecond})
	}
	var kinds, zones []string
	var batch []int
	var apart []bool
	for i, p := range s.Receivers {
		kinds, batch, apart = append(kinds, fmt.Sprint("k", i)), append(batch, p.Batch), append(apart, p.EndpointLimits)
	}
	for z := range s.Zones {
		zones = append(zones, fmt.Sprint("z", z))
	}
	d := &s.Dispatch
	return map[string]any{"Classes": classes, "Tenants": tenants, "Kinds": kinds, "Azs": zones, "MyZone": n % s.Zones, "NInstances": d.Forwarders,
		"Extra":      map[string]any{"CallsOut": d.ConcurrencyLimit, "KindBatch": batch, "SeparateRoutes": apart},
		"Guarantees": map[string]any{"Cold": ms(float64(d.SlowStartDuration)), "ColdFrom": d.SlowStartShare, "FallMultiple": d.OverloadMultiple, "KeyRest": ms(float64(d.KeyCooldown))},
		"Limits": map[string]any{"AttemptsCap": d.MaxAttempts, "MaxOpen": d.QueueCapacity, "RetryAfter": d.MaxRetryAfter > 0, "MaxRetryAfter": ms(float64(d.MaxRetryAfter)),
			"ConnIdle": ms(float64(d.IdleTimeout)), "ConnectTimeout": ms(float64(d.Connect))},
		"Report": map[string]any{"Fields": []string{"x0", "x1"}}, "Discovery": "ask", "WeightKind": map[string]string{"exact": "nominal", "rough": "rough"}[d.ListedRates]}
}

func (p *process) start() error {
	cmd := exec.Command(p.run.Program)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.config, "PROXY_STATE="+p.folder)
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		close(ended)
	}()
	p.cmd, p.ended = cmd, ended
	return nil
}

// ready waits until the forwarder answers a sign of life.
func (p *process) ready(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := emulator.NewClient(p.listen); err == nil {
			answer, err := c.Send(emulator.Command("PING"))
			c.Close()
			if err == nil && answer == "+PONG" {
				return nil
			}
		}
	}
	return fmt.Errorf("forwarder %s does not answer; its log is %s", p.name, p.log.Name())
}

// stall holds the forwarder, whichever process it has, until a moment; the day's lock is held.
func (p *process) stall(until float64) {
	p.stalledUntil = max(p.stalledUntil, until)
	p.run.log.ForwarderStalled(p.number, until)
	if !p.killed {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		p.resumeAfterStall()
	}
}

// resumeAfterStall ends the standstill once no other lasts longer; the day's lock is held.
func (p *process) resumeAfterStall() {
	if left := p.stalledUntil - p.run.Now(); left > 0 {
		p.run.After(left, p.resumeAfterStall)
	} else if !p.killed {
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// kill ends the process; another begins a little later. The day's lock is held.
func (p *process) kill() {
	if p.killed {
		return
	}
	p.killed = true
	p.cmd.Process.Kill()
	p.run.log.ForwarderRestarted(p.number, p.run.Now()+restartDelay+recoveryGrace)
	p.run.After(restartDelay, p.restart)
}

// restart begins another process after a kill, at the end of a standstill if there is one. The day's lock is held.
func (p *process) restart() {
	left := p.stalledUntil - p.run.Now()
	switch {
	case p.runEnded:
	case left > 0:
		p.run.log.ForwarderStalled(p.number, p.stalledUntil+recoveryGrace)
		p.run.After(left, p.restart)
	default:
		if err := p.start(); err != nil {
			p.run.restartErrors = errors.Join(p.run.restartErrors, fmt.Errorf("forwarder %s does not start again: %w", p.name, err))
			return
		}
		p.killed = false
	}
}

// stop ends the process for good.
func (p *process) stop() {
	p.run.mu.Lock()
	p.runEnded = true
	ended := p.ended
	p.cmd.Process.Kill()
	p.run.mu.Unlock()
	<-ended
	p.log.Close()
}
