package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	bookingService = "booking-app"
	zoneA          = "jylland-a"
	zoneB          = "sjaelland-a"
	// bookingSlots are the slots of a runner of the booking service.
	bookingSlots = 6

	// rebornCut is the length of a cut; the runner crashes behind it after crashAfter and is
	// started again after restartAfter.
	rebornCut    = 1500 * time.Millisecond
	crashAfter   = 20 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	rebornRounds = 6
	// bookingsPerSecond are those at the entry.
	bookingsPerSecond = 50
	bookingDeadline   = 6 * time.Second
)

// sixZones are those of the grown deployment, which has one runner of the booking service in
// each.
var sixZones = []string{zoneA, "jylland-b", zoneB, "sjaelland-b", "fyn-a", "fyn-b"}

// backendRunner is a runner process behind a link.
type backendRunner struct {
	r       *rig
	options runnerOptions
	service string
	zone    string
	link    *link
	starts  int
	process *process
	born    int64
	// onLine is told of each line of the process; nil if nobody wants them.
	onLine func(at time.Time, line string)
	// sequence is that of the record, and version that of the software, v1 if empty.
	sequence int
	version  string
}

func (r *rig) newRunner(service, zone string, o runnerOptions) *backendRunner {
	o.listen = freeAddress()
	b := &backendRunner{r: r, options: o, service: service, zone: zone, link: newLink(o.listen)}
	return b
}

// start starts the process under an id and waits until it listens.
func (b *backendRunner) start(id string) {
	b.options.id = id
	serving := make(chan int64, 1)
	b.process = b.r.startProcess(nil, func(line string) {
		var born int64
		if n, _ := fmt.Sscanf(line, "serving %d", &born); n == 1 {
			serving <- born
			return
		}
		b.r.note("runner %s: %s", id, line)
		if b.onLine != nil {
			b.onLine(time.Now(), line)
		}
	}, os.Args[0], b.options.args()...)
	select {
	case b.born = <-serving:
	case <-time.After(readyTimeout):
		fail("runner %s does not start", id)
	}
	b.r.note("runner %s started, born %d", id, b.born)
}

// register writes the runner's record, as the runner does.
func (b *backendRunner) register(coldRemaining time.Duration) {
	b.sequence++
	b.r.note("runner %s writes its record, cold for %s", b.options.id, coldRemaining)
	b.r.store.Put("servers/"+b.options.id, map[string]any{
		"service": b.service, "address": b.link.address(), "zone": b.zone, "version": cmp.Or(b.version, "v1"), "slots": bookingSlots, "state": "ready",
		"coldRemainingMs": coldRemaining.Milliseconds(), "sequence": b.sequence, "born": b.born,
	})
}

// plainRoute returns a route to a plain service, as the sheet of maatte-net has them.
func plainRoute(name, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": clientHost, "prefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": 6000,
		"targetLatencyMs": 400, "priority": 2, "maxAttempts": attempts, "public": false, "sessionAffinity": false, "allowedRegions": []string{},
	}
}

// reborn cuts a runner off, lets it crash behind the cut and start again, and looks for
// answers that ended early and look complete.
func reborn(r *rig) bool {
	r.store.Put("op/config", configuration(1,
		[]any{plainRoute("book-mats", "non_idempotent", bookingService, 1), plainRoute("stock-lookup", "idempotent", bookingService, 2)},
		[]any{map[string]any{"name": bookingService, "healthPath": "/health", "maxConnections": 110, "coldStartS": 0, "coldPerS": 0}}))
	var runners []*backendRunner
	for i, zone := range sixZones {
		b := r.newRunner(bookingService, zone, runnerOptions{work: 60 * time.Millisecond, unframed: true})
		b.start(fmt.Sprintf("i-%d-1", i))
		b.register(0)
		runners = append(runners, b)
	}
	e := r.startEntries(1, sixZones, bounds, func(int) string { return r.store.Address() })[0]
	t := startTraffic(bookingsPerSecond, e)
	time.Sleep(2 * time.Second)
	for range rebornRounds {
		b := runners[0] // the nearest to the entry
		if r.trouble {
			r.note("runner %s is cut off", b.options.id)
			b.link.setCut(true)
			time.Sleep(crashAfter)
			b.process.kill()
			r.note("runner %s has crashed behind the cut", b.options.id)
			old := b.options.id
			time.Sleep(restartAfter)
			b.start(strings.TrimSuffix(old, fmt.Sprint(b.starts+1)) + fmt.Sprint(b.starts+2))
			b.starts++
			time.Sleep(rebornCut - crashAfter - restartAfter)
			b.register(0)
			r.note("the cut has healed")
			b.link.setCut(false)
			time.Sleep(2 * time.Second)
			r.store.Delete("servers/" + old) // after three heartbeats of silence
		} else {
			time.Sleep(rebornCut + 2*time.Second)
		}
		time.Sleep(500 * time.Millisecond)
	}
	all := t.end()
	broken, served, complete := 0, 0, 0
	for _, q := range all {
		whole := wholeAnswer(q.id)
		r.note("client %s %s: status %d, %d of %d bytes, length %q, error %v, after %d ms", q.id, q.path, q.status, len(q.content), len(whole),
			q.answer.Get("Content-Length"), q.err, q.ended.Sub(q.sent).Milliseconds())
		if q.status == http.StatusOK {
			served++
		}
		if q.status != http.StatusOK || q.err != nil {
			continue
		}
		complete++
		if q.content != whole {
			broken++
			r.verdict("MIXED: %s %s got status 200 with seal %q and a complete body of %d bytes; the runner's whole body has %d",
				q.id, q.path, q.answer.Get("X-Response-Seal"), len(q.content), len(whole))
		}
	}
	r.verdict("%d requests, %d with status 200, %d complete, %d of these with a body that ended early", len(all), served, complete, broken)
	if complete < len(all)/2 {
		fail("only %d of %d requests were served", complete, len(all))
	}
	return broken > 0
}

// traffic is that of the clients of a small deployment: three bookings to one look-up.
type traffic struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu  sync.Mutex
	all []*request
}

// startTraffic sends requests to the entries in turn.
func startTraffic(perSecond float64, entries ...*entry) *traffic {
	t := &traffic{stop: make(chan struct{})}
	t.wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond)):
			}
			q := &request{id: fmt.Sprintf("q%05d", n), method: http.MethodPost, path: "/book-mats/x", body: `{"mats":12}`, deadline: bookingDeadline}
			if n%4 == 0 {
				q.method, q.path, q.body = http.MethodGet, "/stock-lookup/x", ""
			}
			t.wg.Go(func() {
				q.send(entries[n%len(entries)].front)
				t.mu.Lock()
				defer t.mu.Unlock()
				t.all = append(t.all, q)
			})
		}
	})
	return t
}

// end stops the traffic and returns the requests when all have ended.
func (t *traffic) end() []*request {
	close(t.stop)
	t.wg.Wait()
	return t.all
}
