package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stray-answer"] = strayAnswer }

const (
	strayRunners, strayFaulty = 8, 4
	// strayShare is the share of its answers that a faulty runner sends twice.
	strayShare = 0.03
	strayWork  = 100 * time.Millisecond
	// strayTime is how long runners are faulty, from strayBegin on. The store is down from
	// strayDown on.
	strayDown, strayBegin, strayTime = 5 * time.Second, 7 * time.Second, 5 * time.Second
)

// duplicates is a faulty runner that sends second copies of answers late, where the next answer
// on the channel is expected: of rejections of health requests, and at most strayShare of all.
type duplicates struct {
	*runner
	// sound is unset while the runner is faulty; answers and extras count what it sends then.
	sound           atomic.Bool
	answers, extras atomic.Int64
}

func (d *duplicates) handle(c *runnerConn, r *runnerRequest) bool {
	faulty, answers := !d.sound.Load(), d.answers.Load()
	if faulty {
		answers = d.answers.Add(1)
	}
	if faulty && c.rejectedHealth && r.id != "" && float64(d.extras.Load()+1) <= strayShare*float64(answers) {
		d.extras.Add(1)
		d.log.add(d.id, "sends a second copy of its answer to a health request, where that to %s is expected", r.id)
		if _, err := c.Write([]byte(c.answered)); err != nil {
			return false
		}
	}
	keep := d.run(c, r, strayWork)
	c.rejectedHealth = r.URL.Path == "/health" && strings.HasPrefix(c.answered, "HTTP/1.1 503")
	return keep
}

// strayAnswer lets busy runners reject health requests, which entries send while the store is
// down, and lets two of them send such an answer twice. Bookings come in groups at one entry and
// singly at another one.
func strayAnswer(t *trial) (bool, error) {
	store, err := newStore(t.record)
	if err != nil {
		return false, err
	}
	store.put("op/config", configuration(7, func(routes, services map[string]object) {
		routes[bookings]["public"] = true
		services[bookingIn]["coldStartS"], services[bookingIn]["coldPerS"] = 3.0, 8.8
	}), 0)
	var faulty []*duplicates
	for i := range strayRunners {
		r, err := newRunner(t.record, store, fmt.Sprintf("i-%d", i+1), bookingIn, "north-a", "v1", 6)
		if err != nil {
			return false, err
		}
		r.handle = func(c *runnerConn, req *runnerRequest) bool { return r.run(c, req, strayWork) }
		if t.trouble && i < strayFaulty {
			d := &duplicates{runner: r}
			d.sound.Store(true)
			r.handle = d.handle
			faulty = append(faulty, d)
		}
	}
	t.entries, err = newEntries(t.record, t.dir, deployment{store.address(), 134, standardFeatures, standardBounds},
		[]place{{"edge-1", "north-a"}, {"edge-2", "north-a"}})
	if err != nil {
		return false, err
	}
	if err := t.startAll(); err != nil {
		return false, err
	}
	begun := time.Now()
	if t.trouble {
		setSound := func(sound bool) {
			t.add("runners", "the faulty ones are sound: %t", sound)
			for _, d := range faulty {
				d.sound.Store(sound)
			}
		}
		time.AfterFunc(strayBegin, func() { setSound(false) })
		time.AfterFunc(strayBegin+strayTime, func() { setSound(true) })
		time.AfterFunc(strayDown, func() { t.add("store", "is down"); store.setDown(true) })
		time.AfterFunc(13*time.Second, func() { t.add("store", "is up"); store.setDown(false) })
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	replies := make(map[string]reply)
	book := func(e *entry, id string) {
		clients.Go(func() {
			r := once(t.record, e, &call{id: id, method: http.MethodPost, path: bookings + "2f", body: "crew 7", deadline: 6 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			replies[id] = r
		})
	}
	var senders sync.WaitGroup
	senders.Go(func() {
		for n := 0; time.Since(begun) < 15*time.Second; n++ {
			book(t.entries[0], fmt.Sprintf("single-%d", n))
			time.Sleep(30 * time.Millisecond)
		}
	})
	senders.Go(func() {
		for n := 0; time.Since(begun) < 15*time.Second; n++ {
			for i := range 5 * strayRunners {
				book(t.entries[1], fmt.Sprintf("group-%d-%d", n, i))
			}
			time.Sleep(time.Duration(110+rand.IntN(70)) * time.Millisecond)
		}
	})
	senders.Wait()
	clients.Wait()
	held := t.checkOnce(replies)
	for _, d := range faulty {
		t.say("%s sent %d of the %d answers of its faulty time twice", d.id, d.extras.Load(), d.answers.Load())
	}
	return held, nil
}
