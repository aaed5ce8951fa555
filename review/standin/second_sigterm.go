package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// signalGap is the time between the two signals; the grace is 8 s.
	signalGap = time.Second
	// slowBooking is the work of a booking in ms, within the largest of the site's sheet.
	slowBooking = 200
	draftWork   = 3000 // ms of a stream
	draftEvents = 20
	bookers     = 8
	drafters    = 8
)

// secondSigterm stops an entry. A second SIGTERM follows while it drains.
func secondSigterm(f *fleet, trouble bool) (verdict, error) {
	for i := range 6 {
		service := bookService
		if i%2 == 0 {
			service = modelService
		}
		if _, err := f.addRunner(service, []string{"maule-a", "biobio-a", "coquimbo-a"}[i%3]); err != nil {
			return verdict{}, err
		}
	}
	if err := f.startEntries(); err != nil {
		return verdict{}, err
	}
	stopped := f.entries[0]
	stop := make(chan struct{})
	var mu sync.Mutex
	var outcomes []outcome
	var senders sync.WaitGroup
	send := func(path string, deadline time.Duration) {
		c := newClient(f.journal, key)
		for {
			select {
			case <-stop:
				return
			default:
			}
			o := c.send(stopped, path, []byte(`{"crew":1}`), deadline)
			mu.Lock()
			outcomes = append(outcomes, o)
			mu.Unlock()
		}
	}
	for range bookers {
		senders.Go(func() { send(fmt.Sprintf("%screw?work=%d", bookPrefix, slowBooking), 1500*time.Millisecond) })
	}
	for range drafters {
		senders.Go(func() {
			send(fmt.Sprintf("%sreport?work=%d&events=%d", draftPrefix, draftWork, draftEvents), 12*time.Second)
		})
	}
	time.Sleep(4 * time.Second)
	stopped.signal(syscall.SIGTERM)
	time.Sleep(signalGap)
	close(stop) // the platform sends new channels to other entries from now on
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	senders.Wait()
	bookings, drafts := 0, 0
	for _, o := range outcomes {
		if len(f.journal.runsOf(o.id)) == 0 || o.complete {
			continue
		}
		f.journal.printf("CUT: %s was passed on to a runner and its channel ended without a complete answer", o.id)
		if o.status == 0 {
			bookings++
		} else {
			drafts++
		}
	}
	return verdict{bookings+drafts > 0, fmt.Sprintf("of %d requests at the entry that was stopped, %d bookings and %d streams that had been passed on to runners were cut without a complete answer",
		len(outcomes), bookings, drafts)}, nil
}
