// Package failover decides when a service's primary is replaced, by which server and under which
// fencing token.
//
// Machine is a pure reducer: it takes events with their time and returns effects as data. Each
// node runs one machine for each service. Nodes agree on who acts through one lease object per
// service in the durable store. It names the holder and an epoch that increases with every change
// of holder. A token consists of the epoch and a counter, so tokens of different holders never
// collide. Each order for another target has a higher token, which fences off an earlier order
// that is carried out late.
package failover

import (
	"time"

	"dewknot/internal/base/era"
)

// tokensPerEpoch is the number of tokens in one epoch.
const tokensPerEpoch = 1 << 20

// Delays and timeouts of the protocol.
const (
	// holderCheckDelay is how long a node that does not hold the lease waits before it checks
	// whether the holder is alive; takeoverDelay is how long it waits for a holder that is.
	holderCheckDelay = 400 * time.Millisecond
	takeoverDelay    = 2500 * time.Millisecond
	// corroborationTTL is how long other nodes' statements that the primary is down stay valid:
	// long enough to take over the lease in between.
	corroborationTTL = 600 * time.Millisecond
	// contradictedPause is the pause after other nodes have reached a primary that this node does
	// not reach.
	contradictedPause = time.Second
	// noPrimaryDelay is how long a service may be without a known primary before one is promoted.
	noPrimaryDelay = 1500 * time.Millisecond
	// goneDelay is how long a primary that vanished from the directory, but still answers, stays
	// the primary.
	goneDelay = 2 * time.Second
	// awayDelay is how long a primary stays in a region where work of some route may not go. A
	// configuration change reaches all nodes in this time.
	awayDelay = 2 * time.Second
	// settleTimeout bounds the wait for a promoted server to become the primary.
	settleTimeout = 3 * time.Second
	// unansweredTimeout is the same after an order that was not answered.
	unansweredTimeout = 1200 * time.Millisecond
	// pauseAfterFailure is the pause after a step that failed.
	pauseAfterFailure = 300 * time.Millisecond
	// returnedPause is the pause after a primary that had stepped down has taken the role again.
	returnedPause = time.Second
	// rejectionTTL is how long a target that the platform rejected is avoided.
	rejectionTTL = 2 * time.Second
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
	// Withdrawing: an order that was not answered is being fenced off.
	Withdrawing
	// Preparing, Choosing, Clearing and Opening are the steps of a campaign by agreement; see
	// tenure.go.
	Preparing
	Choosing
	Clearing
	Opening
)

var phaseNames = [...]string{
	"watching", "corroborating", "reading_lease", "writing_lease", "surveying", "promoting", "settling", "withdrawing",
	"preparing", "choosing", "clearing", "opening",
}

// String returns the phase's name for logs.
func (p Phase) String() string { return phaseNames[p] }

// Observation is what the node knows of the service. Recorded traces contain the field names, in
// which the primary is called the leader.
type Observation struct {
	// Leader is the primary in this node's view, or "" if none is known.
	Leader string
	// LeaderDown is set if the primary certainly does not answer this node.
	LeaderDown bool
	// LeaderDraining is set if the primary has announced that it is leaving, LeaderGone if it has
	// vanished from the directory.
	LeaderDraining bool
	LeaderGone     bool
	// LeaderAway is set if work of some route may not go to the primary's region.
	LeaderAway bool `json:",omitempty"`
	// Servers are the servers of the service that are in the directory.
	Servers []Server
	// Departed are servers that left the directory recently. They may still run, and receive and
	// acknowledge commits.
	Departed []string `json:",omitempty"`
	// SynchronousReplicas is the number of replicas that hold a commit when it is acknowledged.
	SynchronousReplicas int
	// ReplicationStalled is set if too few replicas receive what the primary commits, though they
	// answer. A node that was lost during a change of the primary may have left them held.
	ReplicationStalled bool `json:",omitempty"`
	// Closed is set if the nodes agree on tenures and none is open; Highest is the highest ballot
	// that a voter has promised.
	Closed  bool
	Highest uint64
	// LeastBallot is the lowest ballot of the voter table's generation.
	LeastBallot uint64
	// Voiceless is set if the nodes agree on tenures and too few voters are known to take part.
	Voiceless bool
	// Degraded is set while nothing that this node talks to answers. Then the node itself is at
	// fault, and its view of the primary is no evidence.
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
	node        string
	incarnation string
	rankDelay   time.Duration

	phase      Phase
	holdsLease bool
	// lease is the last known lease and holder its holder; while this node holds the lease,
	// holder is the last other one.
	lease  Lease
	holder string
	// actingAsDeputy is set while this node acts as a deputy, whose tokens start after
	// deputyTokenBase.
	actingAsDeputy  bool
	deputyTokenBase uint64
	// needsNewEpoch is set after a rejected order: the next lease takes a new epoch, since a
	// deputy may have used a higher token.
	needsNewEpoch bool
	// holderAlive is set once the holder has answered since needSince.
	holderAlive bool
	// leaseRenewed is set between the renewal of the lease and the survey that follows it.
	leaseRenewed bool
	// confirmedDown is the primary that no other node reached at confirmedAt.
	confirmedDown string
	confirmedAt   time.Time
	// indirectPathAt is when requests last switched to an indirect path.
	indirectPathAt time.Time
	epoch          uint64
	counter        uint64
	revision       era.Revision
	// storeEra is the era of the store for which epoch was chosen.
	storeEra uint64

	// needSince is the time since which a change has been needed, zero if none is. notBefore is the
	// earliest time of the next step, settleUntil the end of the wait for an ordered target.
	needSince   time.Time
	notBefore   time.Time
	settleUntil time.Time
	target      string
	// token is the token of the last order, resendsLeft how often the order may be sent again.
	token       uint64
	resendsLeft int
	// orderUnanswered is set while an order may still be carried out late, earlierHolderActed while
	// one of an earlier holder of the lease may. replicasHeld is set while a survey holds replicas.
	orderUnanswered    bool
	earlierHolderActed bool
	replicasHeld       bool
	// handover is the state of a change of a primary that still runs, for services with synchronous
	// replicas.
	handover handover
	// resumeAt is when held replicas may receive again after earlier orders were fenced off; zero
	// if none were. repairNotBefore is the earliest time of the next repair of the replication.
	resumeAt        time.Time
	repairNotBefore time.Time
	rejectedAt      map[string]time.Time
	observation     Observation

	// usesTenures is set if the nodes agree on tenures, since the platform does not check fencing
	// tokens.
	usesTenures   bool
	campaign      campaign
	highestBallot uint64
	// openedBallot is the ballot of the tenure that this node opened last, at openedAt.
	openedBallot uint64
	openedAt     time.Time
	// answeredBallot is the ballot of this node's last campaign whose orders have no effect any more,
	// unansweredBallot that of the last one with an order that was not answered.
	answeredBallot   uint64
	unansweredBallot uint64
	// boundTarget is the server to which campaigns are bound since boundSince, by its order under
	// boundBallot.
	boundTarget string
	boundBallot uint64
	boundSince  time.Time
}

// Config configures a machine.
type Config struct {
	Node string
	// Incarnation identifies the incarnation of the node's process.
	Incarnation string
	// RankDelay delays a takeover, so that not all nodes try at once.
	RankDelay time.Duration
	// UsesTenures makes the nodes agree on tenures; see tenure.go.
	UsesTenures bool
}

// New returns a machine that knows no lease and no primary.
func New(cfg Config) *Machine {
	return &Machine{node: cfg.Node, incarnation: cfg.Incarnation, rankDelay: cfg.RankDelay, usesTenures: cfg.UsesTenures, rejectedAt: map[string]time.Time{}}
}

// Phase returns what the machine is waiting for.
func (m *Machine) Phase() Phase { return m.phase }

// HoldsLease reports whether this node holds the lease, as far as it knows.
func (m *Machine) HoldsLease() bool { return m.holdsLease }

// Step processes an event and returns the effects to carry out.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case Observed:
		m.observation = event.Observation
		return m.handleObserved(now)
	case Corroborated:
		return m.handleCorroborated(now, event)
	case LeaseKnown:
		return m.handleLeaseKnown(now, event)
	case LeaseWritten:
		return m.handleLeaseWritten(now, event)
	case StoreRestored:
		return m.handleStoreRestored()
	case Surveyed:
		return m.handleSurveyed(now, event)
	case Ordered:
		return m.handleOrdered(now, event)
	case Prepared:
		return m.handlePrepared(now, event)
	case SteppedDown:
		return m.handleSteppedDown(now, event)
	case Held:
		return m.handleHeld(now, event)
	case Cleared:
		return m.handleCleared(now, event)
	case Led:
		return m.handleLed(now, event)
	case Opened:
		return m.handleOpened(now, event)
	}
	return nil
}

// needsChange reports whether the primary should be replaced, a tenure opened or the replication
// repaired, and after which delay.
func (m *Machine) needsChange(now time.Time) (bool, time.Duration) {
	if needed, delay := m.needsOtherPrimary(now); needed {
		return true, delay
	}
	return m.replicationStalled(now), 0
}

// needsOtherPrimary reports whether the primary should be replaced or a tenure opened, and after
// which delay.
func (m *Machine) needsOtherPrimary(now time.Time) (bool, time.Duration) {
	switch obs := &m.observation; {
	case obs.Degraded:
		return false, 0
	case m.usesTenures && obs.Closed && m.awaitingVoterReports(now):
		return false, 0
	case m.usesTenures && obs.Closed && obs.Leader == "":
		// No tenure has been open since this process started.
		return len(obs.Servers) > 0, 0
	case m.usesTenures && obs.Closed && !obs.LeaderDown:
		return len(obs.Servers) > 0, closedDelay
	case obs.Leader == "":
		return len(obs.Servers) > 0, noPrimaryDelay
	case obs.LeaderDown, obs.LeaderDraining:
		return m.hasOtherServer(), 0
	case obs.LeaderGone:
		return m.hasOtherServer(), goneDelay
	case obs.LeaderAway:
		return m.hasOtherAllowedServer(), awayDelay
	default:
		return false, 0
	}
}

func (m *Machine) hasOtherServer() bool {
	for _, server := range m.observation.Servers {
		if server.ID != m.observation.Leader && !server.Leaving {
			return true
		}
	}
	return false
}

// hasOtherAllowedServer reports whether another server stays and is in a region where all work
// may go.
func (m *Machine) hasOtherAllowedServer() bool {
	for _, server := range m.observation.Servers {
		if server.ID != m.observation.Leader && !server.Leaving && !server.Away {
			return true
		}
	}
	return false
}

// onlyRegionMove reports whether the primary is replaced only to move it to a region where all
// work may go.
func (m *Machine) onlyRegionMove() bool {
	obs := &m.observation
	return obs.LeaderAway && !obs.LeaderDown && !obs.LeaderDraining && !obs.LeaderGone
}

func (m *Machine) handleObserved(now time.Time) []Effect {
	if m.phase == Settling && !m.usesTenures {
		if m.observation.Leader == m.target && !m.observation.LeaderDown {
			return m.finishChange(now)
		}
		if now.Before(m.settleUntil) {
			return nil
		}
		if effects := m.resend(now); effects != nil {
			return effects
		}
		m.watchAgain(now, 0)
	}
	if m.phase == Surveying && m.usesTenures && m.campaign.surveyed {
		return m.decideTarget(now)
	}
	if m.phase == Surveying && m.handover.from != "" {
		return m.continueHandover(now)
	}
	if m.phase == Clearing {
		return m.orderIfReady(now)
	}
	if m.phase == Withdrawing && !m.resumeAt.IsZero() {
		return m.resumeIfSettled(now)
	}
	if m.phase != Watching {
		return nil
	}
	if needed, _ := m.needsOtherPrimary(now); !needed {
		if effects := m.withdraw(); len(effects) > 0 {
			m.needSince, m.holderAlive = time.Time{}, false
			return effects
		}
	}
	needed, delay := m.needsChange(now)
	if !needed {
		m.needSince, m.holderAlive = time.Time{}, false
		return nil
	}
	if m.needSince.IsZero() {
		m.needSince = now
	}
	if !m.holdsLease {
		delay += m.nonHolderDelay()
	}
	if now.Sub(m.needSince) < delay || now.Before(m.notBefore) || m.observation.Voiceless {
		return nil
	}
	if m.mustCorroborate(now) {
		m.phase = Corroborating
		return []Effect{Corroborate{Server: m.observation.Leader, Superiors: m.superiors()}}
	}
	return m.beginChange(now)
}

// mustCorroborate reports whether other nodes are asked first, either whether they reach the
// primary or whether the lease holder is alive.
func (m *Machine) mustCorroborate(now time.Time) bool {
	obs := &m.observation
	if obs.Leader == "" && !(m.usesTenures && obs.Closed && !m.holdsLease) {
		return false
	}
	return (obs.LeaderDown || !m.holdsLease) && !m.recentlyCorroborated(now)
}

// finishChange ends a successful change of the primary.
func (m *Machine) finishChange(now time.Time) []Effect {
	pause := time.Duration(0)
	if m.target == m.handover.from {
		pause = returnedPause
	}
	m.handover = handover{}
	m.watchAgain(now, pause)
	m.needSince = time.Time{}
	m.repairNotBefore = now.Add(repairPause)
	m.orderUnanswered, m.earlierHolderActed = false, false
	return m.resumeReplicas()
}

// beginChange starts a change that is needed. A node that does not hold the lease reads it first.
func (m *Machine) beginChange(now time.Time) []Effect {
	if m.holdsLease && m.observation.SynchronousReplicas > 0 && !m.leaseRenewed {
		return m.renewLease()
	}
	if m.holdsLease && m.usesTenures {
		m.leaseRenewed = false
		return m.prepare(now)
	}
	if m.holdsLease {
		m.leaseRenewed, m.confirmedDown = false, ""
		if m.isHandover(now) {
			return m.beginHandover(now)
		}
		m.phase, m.handover = Surveying, handover{}
		return []Effect{m.survey(now)}
	}
	m.phase = ReadingLease
	return []Effect{ReadLease{}}
}

// survey asks the servers for their reports. Synchronous replicas stop receiving if the primary may be
// changed and no longer runs. While it runs, that would stop its commits before it is certain that it
// can be replaced.
func (m *Machine) survey(now time.Time) Survey {
	return m.surveyWith(m.observation.SynchronousReplicas > 0 && !m.onlyRepairs(now) && m.handover.from == "" && !m.awaitsStepDown())
}

func (m *Machine) surveyWith(hold bool) Survey {
	m.replicasHeld = m.replicasHeld || hold
	return Survey{Except: m.downPrimary(), Hold: hold}
}

// downPrimary returns the primary if it is down, so that a survey leaves it out.
func (m *Machine) downPrimary() string {
	if m.observation.LeaderDown {
		return m.observation.Leader
	}
	return ""
}

// watchAgain returns to Watching. No change is started before the pause is over.
func (m *Machine) watchAgain(now time.Time, pause time.Duration) {
	m.phase = Watching
	m.actingAsDeputy = false
	m.notBefore = now.Add(pause)
}
