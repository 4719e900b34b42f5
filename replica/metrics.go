package replica

import gometrics "github.com/rcrowley/go-metrics"

// sampleSize is the number of values in the sample of a histogram.
const sampleSize = 1028

type meters struct {
	// syncMicros is the time of a save with its sync, in microseconds. It is not a Timer, because a Timer starts a
	// goroutine that cannot be stopped.
	syncMicros gometrics.Histogram
	proposals  gometrics.Counter
	// dropped counts messages dropped because of a full queue or a reconnect.
	dropped    gometrics.Counter
	reconnects gometrics.Counter
	// snapshotsFailed counts snapshots that could not be saved.
	snapshotsFailed gometrics.Counter
	// logBytes is the size of the log on disk, snapshotBytes that of the newest snapshot.
	logBytes, snapshotBytes gometrics.Gauge
}

func newMeters(registry gometrics.Registry) meters {
	return meters{
		syncMicros:      gometrics.GetOrRegisterHistogram("raft.sync_us", registry, gometrics.NewUniformSample(sampleSize)),
		proposals:       gometrics.GetOrRegisterCounter("raft.proposals", registry),
		dropped:         gometrics.GetOrRegisterCounter("raft.messages_dropped", registry),
		reconnects:      gometrics.GetOrRegisterCounter("raft.reconnects", registry),
		snapshotsFailed: gometrics.GetOrRegisterCounter("raft.snapshots_failed", registry),
		logBytes:        gometrics.GetOrRegisterGauge("raft.log_bytes", registry), snapshotBytes: gometrics.GetOrRegisterGauge("raft.snapshot_bytes", registry),
	}
}
