// Command standin plays one case of the review: it starts nodes of the system as processes before
// stand-ins of the platform, of the servers of one service, and of clients, brings the disruption
// about and checks the rule ONE.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	serviceName = "chartstore1"
	database    = "charts1"
)

// order is a call of POST /promotions.
type order struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	holder  string
	token   uint64
	at      time.Time
}

// cloud is the platform's interface for promotions. It ignores fences.
type cloud struct {
	group *group
	mu    sync.Mutex
	// lateFor, if not 0, is how much later a call is carried out. Such a call gets no answer.
	lateFor time.Duration
	// silent is set while calls get no answer and aren't carried out.
	silent bool
	// fenced makes the platform refuse tokens below the highest that it has seen.
	fenced  bool
	highest uint64
	orders  []order
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	received := order{holder: r.Header.Get("Dewknot-Lease-Holder"), at: time.Now()}
	_ = json.Unmarshal(body, &received)
	received.token, _ = strconv.ParseUint(r.Header.Get("Dewknot-Fencing-Token"), 10, 64)
	c.mu.Lock()
	c.orders = append(c.orders, received)
	lateFor, silent := c.lateFor, c.silent
	lower := c.fenced && received.token < c.highest
	if !silent {
		c.highest = max(c.highest, received.token)
	}
	c.mu.Unlock()
	text := fmt.Sprintf("%s by %s, token %d", received.ID, received.holder, received.token)
	if silent {
		record.add("order", text+": no answer, not carried out")
		<-r.Context().Done()
		return
	}
	if lower {
		record.add("order", text+": 409, a higher token was seen")
		w.WriteHeader(http.StatusConflict)
		return
	}
	if lateFor > 0 {
		record.add("order", text+": no answer, to be carried out later")
		time.AfterFunc(lateFor, func() {
			record.add("order", text+": carried out now")
			c.group.promote(received.ID)
		})
		<-r.Context().Done()
		return
	}
	if !c.group.promote(received.ID) {
		record.add("order", text+": 409, the server isn't running")
		w.WriteHeader(http.StatusConflict)
		return
	}
	record.add("order", text+": 200")
}

func (c *cloud) beSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

// lastHolder returns the name of the node that called last, or "".
func (c *cloud) lastHolder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.orders) == 0 {
		return ""
	}
	return c.orders[len(c.orders)-1].holder
}

func (c *cloud) beLate(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateFor = by
}

// world is everything that a case plays with.
type world struct {
	store *store
	group *group
	cloud *cloud
	fleet *fleet
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the repository")
	recordPath := flag.String("record", "record.txt", "the record to write")
	logs := flag.String("logs", "", "a folder to keep the logs of the nodes in")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	if err := record.open(*recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := play(*name, *root, *logs, trouble)
	if err != nil {
		record.add("result", "the case couldn't run: "+err.Error())
		record.close()
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record.close()
	if broken {
		os.Exit(1)
	}
}

func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// clientCount is the number of sessions.
const clientCount = 4

func play(name, root, logs string, trouble bool) (bool, error) {
	scenario, found := scenarios[name]
	synchronous := name == "held-replicas"
	if !found {
		return false, fmt.Errorf("there is no case %q", name)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	if logs != "" {
		dir = logs
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	w := &world{store: newStore()}
	w.group = newGroup(serviceName, w.store)
	w.group.synchronous = synchronous
	w.cloud = &cloud{group: w.group, fenced: synchronous}
	w.putConfiguration(synchronous)
	for _, s := range []struct {
		id, zone string
		primary  bool
		delay    time.Duration
	}{{"i-2f00000001", "puget-a", true, 8 * time.Millisecond}, {"i-2f00000002", "salish-a", false, 8 * time.Millisecond}, {"i-2f00000003", "columbia-a", false, 60 * time.Millisecond}} {
		if err := w.group.add(s.id, s.zone, s.primary, s.delay); err != nil {
			return false, err
		}
	}
	storeAddress, err := serve(w.store)
	if err != nil {
		return false, err
	}
	cloudAddress, err := serve(w.cloud)
	if err != nil {
		return false, err
	}
	w.fleet, err = newFleet(root, dir, storeAddress, cloudAddress, synchronous, []string{"puget-a", "puget-a", "salish-a", "salish-a", "columbia-a", "columbia-a"})
	if err != nil {
		return false, err
	}
	defer w.fleet.stop()
	if err := w.fleet.start(); err != nil {
		return false, err
	}
	if !w.fleet.awaitReady(20 * time.Second) {
		return false, fmt.Errorf("not all nodes became ready")
	}
	callers := startClients(w.fleet, database, clientCount)
	defer callers.done.Wait()
	defer close(callers.stop)
	if !callers.awaitService(20 * time.Second) {
		return false, fmt.Errorf("the clients weren't served")
	}
	time.Sleep(3 * time.Second)
	if synchronous {
		return playRecovery(w, callers, trouble)
	}
	if trouble {
		if err := scenario(w); err != nil {
			return false, err
		}
	} else {
		time.Sleep(20 * time.Second)
	}
	return w.judge(callers), nil
}

// awaitService waits until the clients have been served.
func (c *clients) awaitService(limit time.Duration) bool {
	const enough = 100
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		served := len(c.acked)
		c.mu.Unlock()
		if served >= enough {
			return true
		}
	}
	return false
}

// putConfiguration writes the operator's configuration, like that of soundline-charts.
func (w *world) putConfiguration(synchronous bool) {
	replicas := 0
	if synchronous {
		replicas = 1
	}
	w.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-charts1", "host": database, "service": serviceName, "kind": "primary", "timeout_ms": 800,
			"target_latency_ms": 400, "max_staleness_ms": 1500, "priority": 1,
		}},
		"services": []map[string]any{{"name": serviceName, "max_connections": 23, "sync_replicas": replicas}},
		"limits":   map[string]any{"tx_idle_ms": 5000},
	})
}

// recovery is the bound recovery_s, measuring how long requests are counted after it.
const (
	recovery  = 12 * time.Second
	measuring = 8 * time.Second
	downTime  = 1300 * time.Millisecond
)

// playRecovery plays a case that ends with the final fault: all processes are killed and started
// again. It reports whether the rule RECOVER was broken.
func playRecovery(w *world, callers *clients, trouble bool) (bool, error) {
	began := time.Now()
	time.Sleep(8 * time.Second)
	if trouble {
		if err := scenarios["held-replicas"](w); err != nil {
			return false, err
		}
	}
	final := time.Now()
	record.add("fault", "all processes are killed")
	for _, n := range w.fleet.nodes {
		w.fleet.kill(n)
	}
	time.Sleep(downTime)
	for _, n := range w.fleet.nodes {
		if err := w.fleet.restart(n); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(recovery + measuring)
	sent, served := callers.served(began, final)
	sentAfter, servedAfter := callers.served(back.Add(recovery), back.Add(recovery+measuring-2*time.Second))
	text := fmt.Sprintf("before the final fault %d of %d requests were served, %d of %d of those sent later than %v after the machines were back", served, sent, servedAfter, sentAfter, recovery)
	record.add("result", text)
	fmt.Println(text)
	if 4*served < sent || sentAfter == 0 {
		return false, fmt.Errorf("too little was served or sent: %s", text)
	}
	return 4*servedAfter < sentAfter, nil
}

// judge reports whether the rule ONE was broken: after a promote took effect, another server committed
// a write that reached it later, and the client was told that it is done.
func (w *world) judge(callers *clients) bool {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	kept := map[string]bool{}
	for _, c := range w.group.leader.log {
		kept[c.id] = true
	}
	violations, lost := 0, 0
	for _, a := range callers.acked {
		ran := w.group.ran[a.id]
		if !kept[a.id] {
			lost++
		}
		// The last promote that had taken effect before the write was sent.
		var last *takeover
		for i := range w.group.takeovers {
			if w.group.takeovers[i].at.Before(a.sent) {
				last = &w.group.takeovers[i]
			}
		}
		if last == nil || last.server == ran.server || ran.commit.term >= last.term {
			continue
		}
		violations++
		if violations <= 3 {
			record.add("ONE", fmt.Sprintf("%s: sent %.3f, reached %s %.3f, committed there as %d.%d %.3f, acknowledged %.3f; %s had taken the lead of term %d at %.3f",
				a.id, record.seconds(a.sent), ran.server, record.seconds(ran.arrivedAt), ran.commit.term, ran.commit.number,
				record.seconds(ran.commit.at), record.seconds(a.got), last.server, last.term, record.seconds(last.at)))
		}
	}
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	highest, lower, shared := uint64(0), 0, 0
	holders := map[uint64]string{}
	for _, o := range w.cloud.orders {
		if holder, used := holders[o.token]; used && holder != o.holder {
			shared++
			record.add("ONE", fmt.Sprintf("%s and %s ordered under token %d", holder, o.holder, o.token))
		}
		holders[o.token] = o.holder
		if o.token < highest {
			lower++
			record.add("ONE", fmt.Sprintf("%s ordered %s at %.3f under token %d; the platform had seen %d", o.holder, o.ID, record.seconds(o.at), o.token, highest))
		}
		highest = max(highest, o.token)
	}
	record.add("result", fmt.Sprintf("%d writes acknowledged, %d of them committed at a replaced primary, %d not in the log at the end; %d orders under a lower token than seen, %d under another holder's",
		len(callers.acked), violations, lost, lower, shared))
	fmt.Printf("acknowledged %d, at a replaced primary %d, lost %d, lower tokens %d\n", len(callers.acked), violations, lost, lower)
	return violations+lower+shared > 0
}
