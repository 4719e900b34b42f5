package settings

import (
	"go.uber.org/zap/zapcore"
)

// Process holds the common settings of programs that serve other processes.
type Process struct {
	Advertise string        `arg:"--advertise,env:ADVERTISE" help:"IP address and port under which others reach this process; default is that of --listen (IP:port)"`
	Status    string        `arg:"--status,env:STATUS" help:"IP address and port of /healthz, /readyz and /metrics (IP:port)"`
	SourceIP  string        `arg:"--source-ip,env:SOURCE_IP" help:"source IP address of connections to other processes; default is chosen by the kernel (IP)"`
	Zone      string        `arg:"--zone,env:ZONE" help:"availability zone (name)"`
	LogLevel  zapcore.Level `arg:"--log-level,env:LOG_LEVEL" default:"info" help:"debug, info, warn or error (level)"`
}

// Check checks the settings. listen is the address that the process listens on; it is the default of Advertise.
func (p *Process) Check(c *Checker, listen string) {
	c.ListenAdvertise(listen, &p.Advertise)
	c.Address("--status", p.Status)
	c.OptionalIP("--source-ip", p.SourceIP)
	c.Required("--zone", p.Zone, "zone-a")
}

// Registered holds the common settings of programs that register with control.
type Registered struct {
	ProcessID string `arg:"--process-id,env:PROCESS_ID" help:"unique id of this process (name)"`
	Process
	Control []string `arg:"--control,env:CONTROL" help:"IP addresses and ports of control members (IP:port, several)"`
}

// Check checks the settings. listen is the address that the process listens on.
func (r *Registered) Check(c *Checker, listen, exampleID string) {
	c.Required("--process-id", r.ProcessID, exampleID)
	r.Process.Check(c, listen)
	c.Addresses("--control", r.Control)
}
