package peerload

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/serving/speed"
)

// speedLogInterval bounds how often changes of speeds are logged. The tracker keeps a bounded number of changes between two calls.
const speedLogInterval = time.Second

// speedLog logs and counts what is known about the speeds of instances.
type speedLog struct {
	sent, received gometrics.Counter
	slow           gometrics.Gauge
	next           time.Time
}

func newSpeedLog(r gometrics.Registry) speedLog {
	return speedLog{
		sent: gometrics.GetOrRegisterCounter("peerload.speeds_sent", r), received: gometrics.GetOrRegisterCounter("peerload.speeds_received", r),
		slow: gometrics.GetOrRegisterGauge("peerload.slow_instances", r),
	}
}

// logSpeeds logs the changes of speeds since the last call. The caller holds the lock.
func (e *Exchange) logSpeeds(now time.Time) {
	if now.Before(e.speeds.next) {
		return
	}
	e.speeds.next = now.Add(speedLogInterval)
	changes, slow := e.options.Tracker.SpeedChanges(now)
	e.speeds.slow.Update(int64(slow))
	for _, c := range changes {
		service, instance, percent := zap.String("service", c.Service), zap.String("instance", c.Instance), zap.Int("percent", c.Percent)
		switch c.What {
		case speed.FiguresBegan:
			e.options.Log.Info("instances state how long work takes", service)
		case speed.FiguresEnded:
			e.options.Log.Info("instances no longer state how long work takes", service)
		case speed.Slow:
			e.options.Log.Info("instance is slow", service, instance, percent)
		case speed.Usual:
			e.options.Log.Info("instance is no longer slow", service, instance, percent)
		case speed.Contradicted:
			e.options.Log.Warn("stated time of work contradicts observations", service, instance, percent)
		case speed.Agrees:
			e.options.Log.Info("stated time of work agrees with observations", service, instance, percent)
		}
	}
}
