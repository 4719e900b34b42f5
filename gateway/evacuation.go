package gateway

import (
	"slices"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// evacuations returns the current list of evacuated zones, nil if there is none.
func (c *call) evacuations() *evacuation.List {
	if c.gateway.options.Evacuations == nil {
		return nil
	}
	return c.gateway.options.Evacuations()
}

// isEvacuated reports whether the zone of an instance is evacuated now.
func (c *call) isEvacuated(instance *upstreams.Instance) bool {
	return c.evacuations().Contains(instance.AvailabilityZone)
}

// withdrawnEvacuated is the outcome of a send that was not begun, because the evacuation of its instance's zone began after the choice.
func (c *call) withdrawnEvacuated(instance *upstreams.Instance) result {
	o := c.gateway.options
	gometrics.GetOrRegisterCounter("gateway.evacuated_withdrawn", o.Metrics).Inc(1)
	o.Log.Info("send withdrawn from an evacuated zone", zap.String("request", c.attributes.ID), zap.String("instance", instance.ID),
		zap.String("zone", instance.AvailabilityZone))
	e := failure.New(failure.NoUpstream, failure.NotRun, "zone %s of instance %s is evacuated", instance.AvailabilityZone, instance.ID)
	e.RetryAfter = upstreamRetryAfter
	return result{notRun: true, err: e}
}

// dropEvacuatedSources removes the sources that are engines in a zone whose evacuation began after the choice. Stores in the zone stay in use.
func (c *call) dropEvacuatedSources(chosen *choice) {
	zones := c.evacuations().Zones()
	if len(zones) == 0 {
		return
	}
	stored := chosen.query.Stored
	for i, source := range chosen.sources {
		fromStore := i < len(stored) && stored[i].Address != ""
		if !fromStore && zones[source.AvailabilityZone] {
			chosen.sources[i] = placement.StoredPart{}
		}
	}
}

// evacuatedZones returns the evacuated zones in which the service of the request has instances, in order, and whether it has none in use
// elsewhere.
func (c *call) evacuatedZones() (zones []string, all bool) {
	evacuated := c.evacuations().Zones()
	if len(evacuated) == 0 {
		return nil, false
	}
	all = true
	for _, instance := range c.gateway.options.Directory.View().OfService(c.service.Name) {
		switch {
		case instance.Draining:
		case !evacuated[instance.AvailabilityZone]:
			all = false
		case !slices.Contains(zones, instance.AvailabilityZone):
			zones = append(zones, instance.AvailabilityZone)
		}
	}
	slices.Sort(zones)
	return zones, all && len(zones) > 0
}

// evacuatedError returns the error of a request that no instance can take because of evacuations, nil if they are not the cause. last is the
// error of the last send, nil if there was none: unless all instances are evacuated, it tells more. An evacuation lasts until its operator ends it,
// so a caller whose service is evacuated as a whole gets the longest advice.
func (c *call) evacuatedError(last error) error {
	zones, all := c.evacuatedZones()
	if len(zones) == 0 || !all && last != nil {
		return nil
	}
	gometrics.GetOrRegisterCounter("gateway.evacuated_refused", c.gateway.options.Metrics).Inc(1)
	if !all {
		e := failure.New(failure.NoUpstream, failure.NotRun, "no instance of service %s can take the request; evacuated zones: %q", c.service.Name, zones)
		e.RetryAfter = upstreamRetryAfter
		return e
	}
	e := failure.New(failure.NoUpstream, failure.NotRun, "all instances of service %s are in evacuated zones: %q", c.service.Name, zones)
	e.RetryAfter = boundedAdvice(maxPauseAdvice, time.Until(c.deadline))
	return e
}
