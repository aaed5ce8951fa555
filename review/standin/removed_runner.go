package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime = 3 * time.Second // drainMs
	// lastingTime is how long a leaving runner serves on after drainTime.
	lastingTime = 6 * time.Second
	// restartDelay is the time after which the platform restarts a killed process.
	restartDelay = 200 * time.Millisecond
	// removalDelay is the time from the kill to the removal of the runner's entry.
	removalDelay = 100 * time.Millisecond
	rounds       = 14
	roundTime    = 6 * time.Second
	bookingWork  = 200 // ms, within the largest of the site's sheet
	// bookingGap is the time between the bookings at an entry.
	bookingGap = 100 * time.Millisecond
	// bookersPerEntry is the number of clients at each entry.
	bookersPerEntry = 3
)

// departure is a runner that leaves.
type departure struct {
	runner  *runner
	removed time.Time // when the store has confirmed the removal of its entry
}

// removedRunner kills and restarts the first entry of a zone, several times, while a runner
// leaves. The runner's entry is removed from the store while the process is down.
func removedRunner(f *fleet, trouble bool) (verdict, error) {
	for i := range 3 + rounds {
		if _, err := f.addRunner(bookService, []string{"maule-a", "biobio-a", "coquimbo-a"}[i%3]); err != nil {
			return verdict{}, err
		}
	}
	if err := f.startEntries(); err != nil {
		return verdict{}, err
	}
	killed, calm := f.entries[0], f.entries[1:]
	stop := make(chan struct{})
	var mu sync.Mutex
	var outcomes []outcome
	var senders sync.WaitGroup
	for i := range bookersPerEntry * len(calm) {
		e := calm[i%len(calm)]
		senders.Go(func() {
			c := newClient(f.journal, key)
			for {
				select {
				case <-stop:
					return
				case <-time.After(bookingGap):
				}
				o := c.send(e, fmt.Sprintf("%screw?work=%d", bookPrefix, bookingWork), []byte(`{"crew":1}`), 1500*time.Millisecond)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	var departures []departure
	for i := range rounds {
		begun := time.Now()
		if trouble {
			killed.signal(syscall.SIGKILL)
			<-killed.exited
		}
		time.Sleep(removalDelay)
		r := f.runners[i]
		f.store.remove("servers/" + r.id)
		departures = append(departures, departure{r, time.Now()})
		f.journal.printf("%s: leaves, its entry is removed", r.id)
		time.AfterFunc(drainTime+lastingTime, func() {
			f.journal.printf("%s: ends", r.id)
			r.stop()
		})
		time.Sleep(restartDelay - removalDelay)
		if trouble {
			if err := killed.start(program); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(roundTime - time.Since(begun))
	}
	time.Sleep(drainTime + lastingTime)
	close(stop)
	senders.Wait()
	return judgeDepartures(f, outcomes, departures), nil
}

// judgeDepartures counts the requests that reached a runner though their clients sent them,
// to entries that nothing had disturbed, later than drainTime after its removal.
func judgeDepartures(f *fleet, outcomes []outcome, departures []departure) verdict {
	removed := make(map[string]time.Time)
	for _, d := range departures {
		removed[d.runner.id] = d.removed
	}
	late, lost := 0, 0
	var worst time.Duration
	for _, o := range outcomes {
		for _, r := range f.journal.runsOf(o.id) {
			at, left := removed[r.runner]
			if !left || o.sent.Sub(at) <= drainTime {
				continue
			}
			late++
			worst = max(worst, r.at.Sub(at))
			f.journal.printf("LATE: %s, sent to %s, reached %s %d ms after its entry was removed", o.id, o.entry.name, r.runner, r.at.Sub(at).Milliseconds())
			if !o.complete || o.status != 200 {
				lost++
				f.journal.printf("LOST: %s ran at %s and its client got status %d", o.id, r.runner, o.status)
			}
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d of %d bookings reached a runner more than %v after its entry was removed, the last one %v after; %d of them ran and have no answer",
		late, len(outcomes), drainTime, worst.Round(time.Millisecond), lost)}
}
