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
