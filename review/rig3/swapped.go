package main

import (
	"os"
	"path/filepath"
	"time"
)

const (
	// successorAt is when the successor of a machine of the core starts, replacedAt when that machine gets SIGTERM: many times catch-up-s later.
	successorAt = 3 * time.Second
	replacedAt  = 15 * time.Second
	// graceTime is grace-s of the settings.
	graceTime = 8 * time.Second
	// wipedAfter is the time from the end of the replaced machine's process to the loss of another machine's disk.
	wipedAfter = time.Second
)

// swapped plays the planned replacement of a machine of the core, and the loss of a disk right after the replaced machine has stopped.
func swapped(record *os.File, trouble bool) (broken bool, err error) {
	r, err := newPlatform(record, 4, 2, 7)
	if r != nil {
		defer r.stop()
	}
	if err != nil {
		return false, err
	}
	replaced, wiped, successor := r.nodes[0], r.nodes[1], r.nodes[6]
	successor.core = true
	begun := time.Now()
	for _, n := range r.nodes {
		if n != successor {
			if err := r.startNode(n, true); err != nil {
				return false, err
			}
		}
	}
	if err := r.publish(1, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begun.Add(successorAt)))
	if err := r.startNode(successor, false); err != nil {
		return false, err
	}
	r.log("planned work: %s, the successor of %s, is started with an empty disk and bootstrap = false", successor.name, replaced.name)
	time.Sleep(time.Until(begun.Add(replacedAt)))
	r.readAll()
	if err := replaced.process.Stop(graceTime); err != nil {
		return false, err
	}
	r.log("planned work: %s has ended after SIGTERM, and is gone for good", replaced.name)
	if trouble {
		time.Sleep(wipedAfter)
		if err := wiped.process.Kill(); err != nil {
			return false, err
		}
		if err := os.RemoveAll(filepath.Join(r.directory, wiped.name)); err != nil {
			return false, err
		}
		r.log("trouble: %s loses power and its disk", wiped.name)
		time.Sleep(wipeFor)
		if err := r.startNode(wiped, false); err != nil {
			return false, err
		}
		r.log("trouble: %s is back at its address, with an empty disk and bootstrap = false", wiped.name)
	}
	time.Sleep(recovery)
	for until := time.Now().Add(readFor); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if r.readAll() {
			r.log("the desired state is read back")
			return false, nil
		}
	}
	r.log("the desired state that was acknowledged can't be read back at any machine, %.0f s after all machines are back", (recovery + readFor).Seconds())
	return true, r.checkRunning(replaced)
}
