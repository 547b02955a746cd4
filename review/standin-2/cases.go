package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases are the cases of the review by name. Each returns whether its rule was broken.
var cases = map[string]func(w *World) (bool, error){
	"cut-replica":     playCutReplica,
	"leaving-replica": playLeavingReplica,
	"rolling-release": playRollingRelease,
	"stop":            playStop,
	"public":          playPublic,
}

// syncService starts a service with one synchronous replica: a server in each zone.
func syncService(w *World, database string) (*Service, error) {
	config := ServiceConfig{
		Name: "ledger", SyncReplicas: 1, MaxConnections: 36, Slots: 3, PromoteDelay: time.Second, Handshake: 12 * time.Millisecond,
		Work:       func(string, string) time.Duration { return 6 * time.Millisecond },
		LapseAfter: 3600 * time.Millisecond, DrainFor: 7 * time.Second,
	}
	service := newService(config, w.store, w.record)
	for i, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
		if _, err := service.AddServer(fmt.Sprintf("127.0.0.%d", 101+i), zones[i], delay); err != nil {
			return nil, err
		}
	}
	w.cloud.services[config.Name] = service
	w.configure(7, config, route("r-orders", database, config.Name, "primary", 800, 600, 0))
	return service, nil
}

// writeUntilOver keeps a session that writes until the play ends. It goes to another node if its own
// is not ready.
func (w *World) writeUntilOver(name, database string, pause time.Duration) {
	for attempt := 0; !w.over(); attempt++ {
		node := w.nodes[(len(name)+int(name[len(name)-1])+attempt)%len(w.nodes)]
		if !node.Ready() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c, err := w.open(name, node, database)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for !w.over() {
			id := newRequest()
			answer := c.query(id, "WRITE thing-"+name+" data-"+id, 4*time.Second)
			if answer.done() {
				w.acks.add(id)
			}
			if answer.err != nil {
				break
			}
			time.Sleep(pause)
		}
		c.close()
	}
}

// writers starts sessions that write, and returns a function that waits for their end.
func (w *World) writers(count int, database string, pause time.Duration) (wait func()) {
	var sessions sync.WaitGroup
	for i := range count {
		sessions.Go(func() { w.writeUntilOver(fmt.Sprintf("writer-%d", i), database, pause) })
	}
	return sessions.Wait
}

// lostWrites returns how many acknowledged writes the present primary's log lacks.
func (w *World) lostWrites(service *Service) int {
	lost := 0
	for _, write := range w.acks.all() {
		if service.holds(write.request) {
			continue
		}
		lost++
		w.record.Add("LOST: %s was acknowledged at %.3f, and the primary's log lacks it", write.request, write.at.Sub(w.record.started).Seconds())
	}
	w.record.Note("%d writes acknowledged, %d of them not in the primary's log", len(w.acks.all()), lost)
	return lost
}

// playCutReplica replaces the primary as planned while one of two replicas is cut off from all nodes.
func playCutReplica(w *World) (bool, error) {
	const database = "orders-db"
	service, err := syncService(w, database)
	if err != nil {
		return false, err
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	wait := w.writers(6, database, 10*time.Millisecond)
	time.Sleep(4 * time.Second)
	if len(w.acks.all()) == 0 {
		return false, errors.New("no write was acknowledged before the disruption")
	}
	primary, far := service.servers[0], service.servers[2]
	if w.trouble {
		far.SetCut(true)
		time.AfterFunc(5*time.Second, func() { far.SetCut(false) })
	}
	if _, err := service.AddServer("127.0.0.104", zones[0], 2*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	primary.Drain()
	time.Sleep(16 * time.Second)
	close(w.ending)
	wait()
	service.mu.Lock()
	promoted := len(service.promotions)
	service.mu.Unlock()
	if promoted == 0 {
		return false, errors.New("no server was promoted")
	}
	return w.lostWrites(service) > 0, nil
}

// playLeavingReplica lets the primary crash while one replica leaves without a word, which still
// receives and answers, and the other one receives nothing.
func playLeavingReplica(w *World) (bool, error) {
	const database = "orders-db"
	service, err := syncService(w, database)
	if err != nil {
		return false, err
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	wait := w.writers(6, database, 10*time.Millisecond)
	time.Sleep(4 * time.Second)
	if len(w.acks.all()) == 0 {
		return false, errors.New("no write was acknowledged before the disruption")
	}
	primary, near, far := service.servers[0], service.servers[1], service.servers[2]
	near.LeaveSilently()
	time.Sleep(time.Second)
	if w.trouble {
		far.SetDeaf(true)
		time.AfterFunc(6*time.Second, func() { far.SetDeaf(false) })
		time.AfterFunc(2*time.Second, func() { primary.Crash(6 * time.Second) })
	}
	time.Sleep(16 * time.Second)
	close(w.ending)
	wait()
	return w.lostWrites(service) > 0, nil
}

// releaseGap is the time between the steps of a release.
const releaseGap = 1500 * time.Millisecond

// playRollingRelease replaces a replica and then the primary as planned. The replica's process serves
// on for a while. With the trouble it never says that it drains, so its entry is gone.
func playRollingRelease(w *World) (bool, error) {
	const database = "orders-db"
	service, err := syncService(w, database)
	if err != nil {
		return false, err
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	wait := w.writers(6, database, 10*time.Millisecond)
	time.Sleep(4 * time.Second)
	if len(w.acks.all()) == 0 {
		return false, errors.New("no write was acknowledged before the release")
	}
	primary, replica := service.servers[0], service.servers[1]
	if _, err := service.AddServer("127.0.0.104", zones[1], 2*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(releaseGap)
	if w.trouble {
		replica.LeaveSilently()
	} else {
		replica.Drain()
	}
	time.Sleep(releaseGap)
	if _, err := service.AddServer("127.0.0.105", zones[0], 2*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(releaseGap)
	primary.Drain()
	time.Sleep(16 * time.Second)
	close(w.ending)
	wait()
	service.mu.Lock()
	promoted := len(service.promotions)
	service.mu.Unlock()
	if promoted == 0 {
		return false, errors.New("no server was promoted")
	}
	return w.lostWrites(service) > 0, nil
}

// Figures of the case of a planned stop.
const (
	// lookupWork is how long each statement of a transaction runs.
	lookupWork = 400 * time.Millisecond
	// lookupTimeout is the route's timeout.
	lookupTimeout = 3 * time.Second
	// statementsPerTransaction is the largest number that clients send.
	statementsPerTransaction = 12
	grace                    = 6 * time.Second
	// serverBusyExcuse is until when after the SIGTERM a request may still be cut because the server
	// is at work on it in the last sixth of the grace.
	serverBusyExcuse = 3 * time.Second
)

// cutRequest is a request that got no complete answer.
type cutRequest struct {
	id          string
	node        *Node
	sent, ended time.Time
}

// lookUpUntilOver keeps a session with a node that runs transactions of reads, one after the other.
func (w *World) lookUpUntilOver(name, database string, home int, report func(cutRequest)) {
	for attempt := 0; !w.over(); attempt++ {
		node := w.nodes[(home+attempt)%len(w.nodes)]
		if !node.Ready() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c, err := w.open(name, node, database)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for !w.over() {
			if cut := c.lookUp(); cut != nil {
				report(*cut)
				break
			}
		}
		c.close()
	}
}

// lookUp runs a transaction. It returns the request whose connection ended, if any.
func (c *client) lookUp() *cutRequest {
	texts := []string{"BEGIN READ"}
	for range statementsPerTransaction {
		texts = append(texts, "READ result-"+c.name)
	}
	for _, text := range append(texts, "COMMIT") {
		id, sent := newRequest(), time.Now()
		answer := c.query(id, text, 10*time.Second)
		if answer.err != nil {
			return &cutRequest{id: id, node: c.node, sent: sent, ended: time.Now()}
		}
		if answer.code != "" {
			if answer.state != "I" {
				_ = c.query(newRequest(), "ROLLBACK", 10*time.Second)
			}
			time.Sleep(100 * time.Millisecond)
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// playStop stops a node as planned while its clients run transactions.
func playStop(w *World) (bool, error) {
	const database = "results-db"
	config := ServiceConfig{
		Name: "examdb", MaxConnections: 50, Slots: 5, PromoteDelay: 600 * time.Millisecond, Handshake: 12 * time.Millisecond,
		Work: func(_, text string) time.Duration {
			if strings.HasPrefix(text, "READ") {
				return lookupWork
			}
			return time.Millisecond
		},
		LapseAfter: 3600 * time.Millisecond, DrainFor: 7 * time.Second,
	}
	service := newService(config, w.store, w.record)
	for i, delay := range []time.Duration{0, 2 * time.Millisecond, 8 * time.Millisecond} {
		if _, err := service.AddServer(fmt.Sprintf("127.0.0.%d", 101+i), zones[i], delay); err != nil {
			return false, err
		}
	}
	w.cloud.services[config.Name] = service
	w.configure(7, config, route("r-results", database, config.Name, "bounded_staleness", int(lookupTimeout.Milliseconds()), 1000, 1500))
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	var mu sync.Mutex
	var cuts []cutRequest
	var sessions sync.WaitGroup
	for i := range 8 {
		sessions.Go(func() {
			time.Sleep(time.Duration(i) * 600 * time.Millisecond)
			w.lookUpUntilOver(fmt.Sprintf("desk-%d", i), database, 0, func(cut cutRequest) {
				mu.Lock()
				defer mu.Unlock()
				cuts = append(cuts, cut)
			})
		})
	}
	time.Sleep(12 * time.Second)
	stopped := w.nodes[0]
	stoppedAt := time.Now()
	if w.trouble {
		stopped.signal(syscall.SIGTERM)
		time.Sleep(grace)
		if stopped.running() {
			stopped.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(4 * time.Second)
	close(w.ending)
	sessions.Wait()
	return w.judgeCuts(service, stopped, stoppedAt, cuts), nil
}

// judgeCuts reports whether a stopping node has cut a request that it had passed on to a server.
func (w *World) judgeCuts(service *Service, stopped *Node, stoppedAt time.Time, cuts []cutRequest) bool {
	lost := 0
	for _, cut := range cuts {
		service.mu.Lock()
		arrived, passedOn := service.arrived[cut.id]
		service.mu.Unlock()
		after, took := cut.sent.Sub(stoppedAt), cut.ended.Sub(cut.sent)
		w.record.Note("%s at %s: sent %.3f s after the SIGTERM, connection ended %.3f s later, passed on %v",
			cut.id, cut.node.name, after.Seconds(), took.Seconds(), passedOn)
		if passedOn {
			w.record.Add("%s reached a server %.3f s after the SIGTERM", cut.id, arrived.Sub(stoppedAt).Seconds())
		}
		counts := passedOn && cut.node == stopped && took < lookupTimeout && after > serverBusyExcuse && after < grace+time.Second
		if counts {
			lost++
		}
	}
	w.record.Note("%d requests cut, %d of them lost by the rule", len(cuts), lost)
	return lost > 0
}

// tenantSessions keeps sessions of a tenant that read and write until the play ends.
func (w *World) tenantSessions(count int, key, database string, sessions *sync.WaitGroup, ids *requestList) {
	for i := range count {
		sessions.Go(func() { w.readAndWrite(fmt.Sprintf("%s-%d", key, i), key, database, i, 0.3, ids) })
	}
}

// requestList holds the requests of some clients that were answered with success.
type requestList struct {
	mu  sync.Mutex
	all []string
}

func (l *requestList) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, id)
}

// readAndWrite keeps a session that reads and writes. who stands in START, and every tenth request
// writes.
func (w *World) readAndWrite(name, who, database string, home int, writes float64, ids *requestList) {
	for attempt := 0; !w.over(); attempt++ {
		c, err := w.openAs(name, who, w.nodes[(home+attempt)%len(w.nodes)], database)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for count := 0.0; !w.over(); count += writes {
			id, text := newRequest(), "READ thing-"+name
			if count >= 1 {
				count, text = 0, "WRITE thing-"+name+" data"
			}
			answer := c.query(id, text, 4*time.Second)
			if answer.done() {
				ids.add(id)
			}
			if answer.err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		c.close()
	}
}

// playPublic makes a route public while tenants use the same databases through another one.
func playPublic(w *World) (bool, error) {
	const private, public = "orders-db", "timetable-db"
	config := ServiceConfig{
		Name: "booking", MaxConnections: 36, Slots: 3, PromoteDelay: time.Second, Handshake: 12 * time.Millisecond,
		Work:       func(string, string) time.Duration { return 6 * time.Millisecond },
		LapseAfter: 3600 * time.Millisecond, DrainFor: 7 * time.Second,
	}
	service := newService(config, w.store, w.record)
	for i, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
		if _, err := service.AddServer(fmt.Sprintf("127.0.0.%d", 101+i), zones[i], delay); err != nil {
			return false, err
		}
	}
	w.cloud.services[config.Name] = service
	w.tenants = []map[string]any{
		{"name": "coachline", "api_keys": []string{"key-coachline"}},
		{"name": "resellers", "api_keys": []string{"key-resellers"}},
	}
	orders := route("r-orders", private, config.Name, "read_your_writes", 800, 1000, 2500)
	timetable := route("r-timetable", public, config.Name, "bounded_staleness", 2000, 1000, 1500)
	orders["public"], timetable["public"] = false, false
	w.configure(7, config, orders, timetable)
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	var sessions sync.WaitGroup
	var ofTenants, ofGuests requestList
	for _, key := range []string{"key-coachline", "key-resellers"} {
		w.tenantSessions(3, key, private, &sessions, &ofTenants)
	}
	for i := range 3 {
		sessions.Go(func() { w.readAndWrite(fmt.Sprintf("guest-%d", i), "guest", public, i, 0, &ofGuests) })
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		changed := route("r-timetable", public, config.Name, "bounded_staleness", 2000, 1000, 1500)
		changed["public"] = true
		w.configure(9, config, orders, changed)
	}
	time.Sleep(12 * time.Second)
	close(w.ending)
	sessions.Wait()
	if len(ofTenants.all) == 0 || w.trouble != (len(ofGuests.all) > 0) {
		return false, fmt.Errorf("%d requests of tenants and %d of guests were answered", len(ofTenants.all), len(ofGuests.all))
	}
	return w.judgeTenants(service, &ofTenants, &ofGuests), nil
}

// judgeTenants reports whether requests of callers without a key ran under a tenant's name.
func (w *World) judgeTenants(service *Service, ofTenants, ofGuests *requestList) bool {
	service.mu.Lock()
	defer service.mu.Unlock()
	foreign := map[string]int{}
	for _, id := range ofGuests.all {
		for _, tenant := range w.tenants {
			if who := service.ranFor[id]; who == tenant["name"] {
				foreign[who]++
				w.record.Add("FOREIGN: %s came without a key and ran under the name of %s", id, who)
			}
		}
	}
	w.record.Note("%d requests of tenants; %d requests without a key, of which ran under a tenant's name: %v",
		len(ofTenants.all), len(ofGuests.all), foreign)
	return len(foreign) > 0
}
