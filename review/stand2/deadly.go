package main

import (
	"errors"
	"fmt"
	"time"
)

// Parts of prompts, as they are named in Prefix-Hash.
const (
	oldBook = "5c1e07a2"
	newBook = "91bd3f06"
	// annex is the part that crashes engines.
	annex = "e4402b7d"
)

const engines = 12

var errNoCrash = errors.New("no engine crashed")

// share is the part of requests at which an engine has begun to work.
func (s *system) share(list []request) float64 {
	begun := 0
	for _, r := range list {
		if s.hasRun(r.id) {
			begun++
		}
	}
	return float64(begun) / float64(max(1, len(list)))
}

// playNeighbours asks about a new document with an annex that crashes engines. At first one question in four is not about the annex, and later
// most are not.
func playNeighbours(s *system, trouble bool) (string, error) {
	if err := s.start(engines); err != nil {
		return "", err
	}
	const tenant, pause = "jeye930", 100 * time.Millisecond
	var outside, inside []request
	node := 0
	next := func() int { node++; return node % nodes }
	for range 60 {
		outside = append(outside, s.send("sound", tenant, next(), oldBook))
		time.Sleep(pause)
	}
	if trouble {
		s.setDeadly(annex)
	}
	for i := range 40 {
		if i%4 == 3 {
			s.send("sound", tenant, next(), newBook)
		} else {
			s.send("annex", tenant, next(), newBook, annex)
		}
		time.Sleep(pause)
	}
	lastCrash := time.Now()
	if crashes := s.crashTimes(); len(crashes) > 0 {
		lastCrash = crashes[min(len(crashes), 5)-1]
	}
	from := lastCrash.Add(2 * contactWindow)
	for i := 0; time.Since(from) < 12*time.Second; i++ {
		if i%10 == 0 {
			s.send("annex", tenant, next(), newBook, annex)
		}
		r := s.send("sound", tenant, next(), newBook)
		if r.sentAt.After(from) {
			inside = append(inside, r)
		}
		time.Sleep(pause)
	}
	time.Sleep(time.Second)
	before, during := s.share(outside), s.share(inside)
	s.record.note("%d crashes; of %d sound requests before the first one %.2f begin; of %d from 2 x contact-window-ms after the fifth or last crash %.2f begin",
		len(s.crashTimes()), len(outside), before, len(inside), during)
	if trouble && len(s.crashTimes()) == 0 {
		return "", errNoCrash
	}
	if during < before/2 {
		return fmt.Sprintf("LOST: sound requests with the same key and first part begin at %.2f of their attempts, %.2f before", during, before), nil
	}
	return "", nil
}

// playBatches sends two batches of prompts with a deadly part at once, one after the other.
func playBatches(s *system, trouble bool) (string, error) {
	if err := s.start(engines); err != nil {
		return "", err
	}
	const tenant, pause, size = "jeye930", 50 * time.Millisecond, 30
	if trouble {
		s.setDeadly(annex)
	}
	node := 0
	sound := func(d time.Duration) {
		for began := time.Now(); time.Since(began) < d; time.Sleep(pause) {
			node++
			s.send("sound", tenant, node%nodes, newBook)
		}
	}
	batch := func() (list []request) {
		for i := range size {
			// The annex belongs to many documents.
			list = append(list, s.send("annex", tenant, i%nodes, fmt.Sprintf("b00c%02x", i), annex))
		}
		return list
	}
	sound(3 * time.Second)
	sent := batch()
	// Engines are back 2 s after a crash, and listed 0.8 s later.
	sound(6 * time.Second)
	sent = append(sent, batch()...)
	sound(4 * time.Second)
	time.Sleep(time.Second)
	crashes := s.crashTimes()
	if len(crashes) < 5 {
		s.record.note("%d crashes", len(crashes))
		return "", nil
	}
	from := crashes[4].Add(contactWindow)
	late := 0
	for _, r := range sent {
		for _, a := range s.arrivalsOf(r.id) {
			if r.sentAt.After(from) && a.at.After(from) {
				late++
			}
		}
	}
	s.record.note("%d crashes; %d requests with the part reach engines later than contact-window-ms after the fifth crash", len(crashes), late)
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d requests with a part that crashes engines reach engines later than contact-window-ms after the fifth crash", late), nil
	}
	return "", nil
}
