// Package failover decides when a service's primary is replaced, by which
// server and under which fencing token.
//
// Machine is a pure reducer: events with their time go in, effects come out as
// data. One machine runs for each service on each node. Nodes agree on who acts
// through one lease object a service in the durable store: it names the holder
// and an epoch that rises with every change of holder. A token is made of the
// epoch and a counter, so tokens of different holders never collide, and each
// order for another target carries a higher one: an earlier order that is
// carried out late is then fenced off.
package failover

import (
	"time"

	"dewknot/internal/base/era"
)

// tokensPerEpoch is how many tokens a holder may use within one epoch.
const tokensPerEpoch = 1 << 20

// The times of the protocol.
const (
	// holderDelay is how long a node that does not hold the lease waits before it
	// looks whether the holder lives; takeoverDelay is how long it leaves the
	// matter to a holder that does.
	holderDelay   = 400 * time.Millisecond
	takeoverDelay = 2500 * time.Millisecond
	// corroborationLife is how long other nodes' word that the primary is down
	// holds: long enough to take the lease over in between.
	corroborationLife = 600 * time.Millisecond
	// contradictedPause is the pause after other nodes have reached a primary
	// that this node does not reach.
	contradictedPause = time.Second
	// leaderlessDelay is how long a service may be without a known primary
	// before one is promoted.
	leaderlessDelay = 1500 * time.Millisecond
	// goneDelay is how long a primary that vanished from the directory, but
	// still answers, is left in office.
	goneDelay = 2 * time.Second
	// awayDelay is how long a primary stays in office where work of some route may not go: a
	// change of the configuration reaches all nodes by then.
	awayDelay = 2 * time.Second
	// settleLimit bounds the wait for a promoted server to take the lead.
	settleLimit = 3 * time.Second
	// unansweredLimit is the same after an order that was not answered.
	unansweredLimit = 1200 * time.Millisecond
	// pauseAfterFailure is the pause after a step that failed.
	pauseAfterFailure = 300 * time.Millisecond
	// rejectedLife is how long a target that the platform rejected is avoided.
	rejectedLife = 2 * time.Second
)

// Phase is what a machine is waiting for.
type Phase uint8

// The phases.
const (
	Watching Phase = iota
	// Corroborating: other nodes are asked whether they reach the primary.
	Corroborating
	ReadingLease
	WritingLease
	Surveying
	Promoting
	Settling
	// Withdrawing: an order that was not answered is fenced off.
	Withdrawing
	// Preparing, Choosing, Clearing and Opening are the steps of a campaign by
	// agreement: see tenure.go.
	Preparing
	Choosing
	Clearing
	Opening
)

var phaseNames = [...]string{
	"watching", "corroborating", "reading_lease", "writing_lease", "surveying", "promoting", "settling", "withdrawing",
	"preparing", "choosing", "clearing", "opening",
}

// String returns the phase's name in logs.
func (p Phase) String() string { return phaseNames[p] }

// Observation is what the node sees of the service.
type Observation struct {
	// Leader is the server believed to be the primary; "" if none is known.
	Leader string
	// LeaderDown is set if the leader surely does not answer this node.
	LeaderDown bool
	// LeaderDraining is set if the leader has announced its end, LeaderGone if
	// it has vanished from the directory.
	LeaderDraining bool
	LeaderGone     bool
	// LeaderAway is set if work of some route may not go to the leader's region.
	LeaderAway bool `json:",omitempty"`
	// Servers are all servers of the service known to the node.
	Servers []Server
	// SynchronousReplicas is how many replicas hold a commit when it is acknowledged.
	SynchronousReplicas int
	// Closed is set, by agreement, if no tenure is open; Highest is the highest ballot
	// that a voter has promised.
	Closed  bool
	Highest uint64
	// LeastBallot is the lowest ballot of the voters' era.
	LeastBallot uint64
	// Voiceless is set, by agreement, while too few voters are known to take part.
	Voiceless bool
	// Degraded is set while all that this node talks to is silent: then it is the node
	// that is at fault, and what it sees of the primary says nothing.
	Degraded bool `json:",omitempty"`
}

// Server is a possible target.
type Server struct {
	ID      string
	Leaving bool
	// Away is set if work of some route may not go to the server's region.
	Away bool `json:",omitempty"`
}

// Machine is the reducer of one service on one node.
type Machine struct {
	node string
	life string
	rank time.Duration

	phase   Phase
	holding bool
	// lease is the lease as it was last known, holder its holder; while this node
	// holds it, holder is the last other one.
	lease  Lease
	holder string
	// deputizing is set while this node acts as a deputy, whose tokens begin after
	// deputyTokens.
	deputizing   bool
	deputyTokens uint64
	// fenced is set after a rejected order: the next lease takes a new epoch, since a
	// deputy may have used a higher token.
	fenced bool
	// holderLives is set once the holder has answered since the need began.
	holderLives bool
	// renewed is set between the renewal of the lease and the survey it is for.
	renewed bool
	// confirmedDown is the primary that no other node reached at confirmedAt.
	confirmedDown string
	confirmedAt   time.Time
	// detourAt is when work last began to go through another node.
	detourAt time.Time
	epoch    uint64
	counter  uint64
	revision era.Revision
	// storeEra is the era of the store for which epoch was taken.
	storeEra uint64

	needSince   time.Time
	notBefore   time.Time
	settleUntil time.Time
	target      string
	// token is that of the last order, repeats how often it may be given again.
	token   uint64
	repeats int
	// unanswered is set while an order may still be carried out late.
	unanswered  bool
	rejected    map[string]time.Time
	observation Observation

	// agreed is set if the nodes agree on tenures, since the platform checks no fences.
	agreed   bool
	campaign campaign
	// highest is the highest ballot known.
	highest uint64
	// openedBallot is that of the tenure which this node has opened last, at openedAt.
	openedBallot uint64
	openedAt     time.Time
	// refusedBallot is that of an order which the platform has surely refused.
	refusedBallot uint64
	// boundTarget is the server that campaigns are bound to since boundSince.
	boundTarget string
	boundSince  time.Time
}

// Config configures a machine.
type Config struct {
	Node string
	// Life is unique to the process.
	Life string
	// Rank delays a takeover, so that the nodes do not all try at once.
	Rank time.Duration
	// Agreed makes nodes agree on tenures: see tenure.go.
	Agreed bool
}

// New returns a machine.
func New(cfg Config) *Machine {
	return &Machine{node: cfg.Node, life: cfg.Life, rank: cfg.Rank, agreed: cfg.Agreed, rejected: map[string]time.Time{}}
}

// Phase returns what the machine is waiting for.
func (m *Machine) Phase() Phase { return m.phase }

// Holding reports whether this node holds the lease, as far as it knows.
func (m *Machine) Holding() bool { return m.holding }

// Step takes an event and returns what to do.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case Observed:
		m.observation = event.Observation
		return m.observed(now)
	case Corroborated:
		return m.corroborated(now, event)
	case LeaseKnown:
		return m.leaseKnown(now, event)
	case LeaseWritten:
		return m.leaseWritten(now, event)
	case StoreRestored:
		return m.storeRestored()
	case Surveyed:
		return m.surveyed(now, event)
	case Ordered:
		return m.ordered(now, event)
	case Prepared:
		return m.prepared(now, event)
	case SteppedDown:
		return m.steppedDown(now, event)
	case Held:
		return m.held(now, event)
	case Cleared:
		return m.cleared(now, event)
	case Led:
		return m.led(now, event)
	case Opened:
		return m.opened(now, event)
	}
	return nil
}

// need returns whether the primary should be replaced, and after which delay.
func (m *Machine) need(now time.Time) (bool, time.Duration) {
	switch seen := &m.observation; {
	case seen.Degraded:
		return false, 0
	case m.agreed && seen.Closed && m.learning(now):
		return false, 0
	case m.agreed && seen.Closed && seen.Leader == "":
		// None was open in this process's life.
		return len(seen.Servers) > 0, 0
	case m.agreed && seen.Closed && !seen.LeaderDown:
		return len(seen.Servers) > 0, closedDelay
	case seen.Leader == "":
		return len(seen.Servers) > 0, leaderlessDelay
	case seen.LeaderDown, seen.LeaderDraining:
		return m.otherServer(), 0
	case seen.LeaderGone:
		return m.otherServer(), goneDelay
	case seen.LeaderAway:
		return m.otherHome(), awayDelay
	default:
		return false, 0
	}
}

func (m *Machine) otherServer() bool {
	for _, server := range m.observation.Servers {
		if server.ID != m.observation.Leader && !server.Leaving {
			return true
		}
	}
	return false
}

// otherHome reports whether there is a server that stays, and to whose region all work may go.
func (m *Machine) otherHome() bool {
	for _, server := range m.observation.Servers {
		if server.ID != m.observation.Leader && !server.Leaving && !server.Away {
			return true
		}
	}
	return false
}

// movesHome reports whether a primary is replaced only to lead where all work may go.
func (m *Machine) movesHome() bool {
	seen := &m.observation
	return seen.LeaderAway && !seen.LeaderDown && !seen.LeaderDraining && !seen.LeaderGone
}

func (m *Machine) observed(now time.Time) []Effect {
	if m.phase == Settling && !m.agreed {
		if m.observation.Leader == m.target && !m.observation.LeaderDown {
			return m.settled(now)
		}
		if now.Before(m.settleUntil) {
			return nil
		}
		if again := m.repeat(now); again != nil {
			return again
		}
		m.rest(now, 0)
	}
	if m.phase == Surveying && m.agreed && m.campaign.surveyed {
		return m.decide(now)
	}
	if m.phase == Clearing {
		return m.orderIfReady(now)
	}
	if m.phase != Watching {
		return nil
	}
	needed, delay := m.need(now)
	if !needed {
		m.needSince, m.holderLives = time.Time{}, false
		return m.withdraw()
	}
	if m.needSince.IsZero() {
		m.needSince = now
	}
	if !m.holding {
		delay += m.deference()
	}
	if now.Sub(m.needSince) < delay || now.Before(m.notBefore) || m.observation.Voiceless {
		return nil
	}
	if m.mustCorroborate(now) {
		m.phase = Corroborating
		return []Effect{Corroborate{Server: m.observation.Leader, Superiors: m.superiors()}}
	}
	return m.act(now)
}

// mustCorroborate reports whether other nodes are asked first: whether they reach the
// primary, or whether the holder of the lease lives.
func (m *Machine) mustCorroborate(now time.Time) bool {
	seen := &m.observation
	if seen.Leader == "" && !(m.agreed && seen.Closed && !m.holding) {
		return false
	}
	return (seen.LeaderDown || !m.holding) && !m.justCorroborated(now)
}

// settled ends a change of the primary that has succeeded.
func (m *Machine) settled(now time.Time) []Effect {
	m.rest(now, 0)
	m.needSince = time.Time{}
	m.unanswered = false
	return m.resume()
}

func (m *Machine) act(now time.Time) []Effect {
	if m.holding && m.observation.SynchronousReplicas > 0 && !m.renewed {
		return m.renew()
	}
	if m.holding && m.agreed {
		m.renewed = false
		return m.prepare(now)
	}
	if m.holding {
		m.phase = Surveying
		m.renewed, m.confirmedDown = false, ""
		return []Effect{m.survey()}
	}
	m.phase = ReadingLease
	return []Effect{ReadLease{}}
}

// survey asks the servers for their reports; synchronous replicas stop receiving.
func (m *Machine) survey() Survey {
	return Survey{Except: m.downLeader(), Hold: m.observation.SynchronousReplicas > 0}
}

// downLeader returns the leader if it is not worth asking.
func (m *Machine) downLeader() string {
	if m.observation.LeaderDown {
		return m.observation.Leader
	}
	return ""
}

func (m *Machine) rest(now time.Time, pause time.Duration) {
	m.phase = Watching
	m.deputizing = false
	m.notBefore = now.Add(pause)
}
