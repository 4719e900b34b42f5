package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	evacuated = 1
	// evacuateWithin is the bound evacuate-ms.
	evacuateWithin = 5 * time.Second
)

// playOddEntry evacuates a zone while the instance list has an entry of another writer without the field zone.
func playOddEntry(s *system, trouble bool) (string, error) {
	s.deployment = kapiRandevu
	if err := s.start(engines); err != nil {
		return "", err
	}
	inZone := map[string]bool{}
	for _, e := range s.engines {
		if e.zone == zone(evacuated) {
			id, _ := e.current()
			inZone[id] = true
		}
	}
	if trouble {
		e := s.engines[evacuated]
		entry := map[string]any{}
		for name, value := range e.listed(time.Now()) {
			if name != "zone" {
				entry[name] = value
			}
		}
		s.addOdd(entry)
	}
	var sent []request
	traffic := func(d time.Duration) {
		for began := time.Now(); time.Since(began) < d; time.Sleep(20 * time.Millisecond) {
			n := len(sent)
			sent = append(sent, s.send("sound", "jeye930", n%nodes, fmt.Sprintf("b%07x", n)))
		}
	}
	traffic(3 * time.Second)
	if err := s.operate("/Evacuations.Start/" + zone(evacuated)); err != nil {
		return "", err
	}
	from := time.Now().Add(evacuateWithin)
	traffic(evacuateWithin + 8*time.Second)
	time.Sleep(time.Second)
	late := 0
	engines := map[string]bool{}
	for _, r := range sent {
		for _, a := range s.arrivalsOf(r.id) {
			if inZone[a.engine] && a.at.After(from) {
				late++
				engines[a.engine] = true
			}
		}
	}
	var names []string
	for name := range engines {
		names = append(names, name)
	}
	s.record.note("%d of %d requests reach engines in the evacuated zone later than evacuate-ms after the ack: %s", late, len(sent), strings.Join(names, " "))
	if late > 0 {
		return fmt.Sprintf("EVAC: %d requests reach engines in the evacuated zone later than evacuate-ms after the ack", late), nil
	}
	return "", nil
}

// The cold limit of the engines of demands/kapi-randevu-grown, and the bound on the requests that a cold engine gets in a second.
const (
	coldFor       = 3 * time.Second
	coldPerS      = 12.0
	coldOvershoot = 1.5
	coldSlack     = 5
)

// playColdEntry lets an engine crash and return cold while the instance list has an entry of another writer without the field cold-left-ms.
func playColdEntry(s *system, trouble bool) (string, error) {
	s.sizes, s.coldFor, s.deployment = shortPrompts, coldFor, kapiRandevu
	if err := s.start(nodes); err != nil {
		return "", err
	}
	e := s.engines[1]
	n := 0
	traffic := func(d time.Duration) {
		for began := time.Now(); time.Since(began) < d; time.Sleep(7 * time.Millisecond) {
			n++
			s.send("sound", "jeye930", n%nodes, fmt.Sprintf("b00c%02x", n%20))
		}
	}
	traffic(3 * time.Second)
	old, _ := e.current()
	e.crash(old)
	traffic(backAfter + listLag)
	id, _ := e.current()
	if id == old {
		return "", fmt.Errorf("engine %s did not start again", old)
	}
	if trouble {
		entry := e.listed(time.Now().Add(listLag))
		delete(entry, "cold-left-ms")
		s.addOdd(entry)
	}
	traffic(coldFor + time.Second)
	time.Sleep(time.Second)
	most := s.mostInASecond(id, coldFor)
	allowed := coldPerS*coldOvershoot + coldSlack
	s.record.note("cold engine %s gets up to %d requests in a second, %v are allowed", id, most, allowed)
	if float64(most) > allowed {
		return fmt.Sprintf("FAILBACK: a cold engine gets %d requests in one second, %v are allowed", most, allowed), nil
	}
	return "", nil
}
