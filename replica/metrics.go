package replica

import gometrics "github.com/rcrowley/go-metrics"

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 1028

type meters struct {
	// syncMicros is the time of a save with its sync, in microseconds. It is no Timer, which would start a goroutine
	// that cannot be stopped.
	syncMicros gometrics.Histogram
	proposals  gometrics.Counter
	// dropped counts messages that found a full queue.
	dropped    gometrics.Counter
	reconnects gometrics.Counter
}

func newMeters(registry gometrics.Registry) meters {
	return meters{
		syncMicros: gometrics.GetOrRegisterHistogram("raft.sync_us", registry, gometrics.NewUniformSample(sampleSize)),
		proposals:  gometrics.GetOrRegisterCounter("raft.proposals", registry),
		dropped:    gometrics.GetOrRegisterCounter("raft.messages_dropped", registry),
		reconnects: gometrics.GetOrRegisterCounter("raft.reconnects", registry),
	}
}
