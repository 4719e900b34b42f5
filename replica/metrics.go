package replica

import gometrics "github.com/rcrowley/go-metrics"

type meters struct {
	sync      gometrics.Timer
	proposals gometrics.Counter
	// dropped counts messages that found a full queue.
	dropped    gometrics.Counter
	reconnects gometrics.Counter
}

func newMeters(registry gometrics.Registry) meters {
	return meters{
		sync:       gometrics.GetOrRegisterTimer("raft.sync", registry),
		proposals:  gometrics.GetOrRegisterCounter("raft.proposals", registry),
		dropped:    gometrics.GetOrRegisterCounter("raft.messages_dropped", registry),
		reconnects: gometrics.GetOrRegisterCounter("raft.reconnects", registry),
	}
}
