// Package tenure runs a node's part of the agreement on primaries. It exchanges the messages of
// package quorum with other nodes, renews the node's leases, and replaces the table of voters by
// its next generation when voters fail.
//
// A service's state is published as a quorum.View, which requests read without a lock. Candidates
// for the primary role use Keeper to prepare, choose and open tenures.
package tenure

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/era"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/quorum"
)

// Timing of a Keeper.
const (
	// busyInterval is the pause between ticks while this node's voter waits for leases to expire or
	// recovers its state.
	busyInterval = 40 * time.Millisecond
	// eagerDuration is how long the voters are asked eagerly after a request needed leases.
	eagerDuration = 100 * time.Millisecond
	// partialTimeout is how long the nearest voters may disagree on an open tenure before all
	// voters are asked. They normally learn of it within a few round trips.
	partialTimeout = 150 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
)

// Peer is another node, as listed by the members in the store.
type Peer struct {
	Name    string
	Address string
	Zone    string
	// Region is the zone's region; "" if it is not known.
	Region string
	// Capacity is the node's relative capacity for work; 0 if it is not known.
	Capacity float64
}

// Sender sends messages to other nodes. Messages may be lost.
type Sender interface {
	// SendMessage sends a message to the node at an address.
	SendMessage(address string, m *quorum.Message)
}

// Config configures a Keeper.
type Config struct {
	Name   string
	Zone   string
	Region string
	// Address is this node's address for messages.
	Address string
	// Capacity is this node's, as in Peer.
	Capacity float64
	// Incarnation is unique to the node's process.
	Incarnation uint64
	Store       objectstore.Store
	// StoreEra returns the latest known era of the store.
	StoreEra func() uint64
	Kind     string
	Sender   Sender
	// Peers returns the other known nodes, or nil before the first list of them is loaded.
	Peers func() []Peer
	// OnViewChanged is called when a service's view changes.
	OnViewChanged func(service string)
	// OnVotersReady is called when the node has received the complete records of a majority of
	// voters.
	OnVotersReady func()
	Log           *eventlog.Log
}

// Keeper runs a node's part of the agreement. It is safe for concurrent use.
type Keeper struct {
	cfg     Config
	started time.Time

	mu        sync.Mutex
	voter     *quorum.Voter
	member    *quorum.Member
	supporter *quorum.Supporter
	// supportedAt is when this node's voter was last seen to be supported, or its table was installed.
	supportedAt time.Time
	// operableAt is when this node last knew a majority of the voters with their state, or the table was
	// installed.
	operableAt time.Time
	// confirming is set while the table is being read to confirm its generation. confirmedAt is when
	// that began.
	confirming  bool
	confirmedAt time.Time
	// supporterAnswers receives the supporters' answers about an abandonment; nil if none are awaited.
	supporterAnswers chan quorum.Message
	// abandoning is the last abandonment that the supporters have agreed to, abandonTriedAt the time of
	// the last attempt. Only the goroutine of keepTable uses them.
	abandoning     abandonment
	abandonTriedAt time.Time
	// tableRevision is the store's revision of the table.
	tableRevision era.Revision
	// leasesRequestedAt is when a request last asked for leases, allVotersRequestedAt when a
	// request last needed more than the nearest voters.
	leasesRequestedAt    time.Time
	allVotersRequestedAt time.Time
	sequence             uint64
	rounds               map[*round]struct{}
	// incarnations are the incarnations of the peers that answered an inquiry.
	incarnations map[string]peerIncarnation
	// leaving is set once the node stops. leavingPeers are the other nodes that do.
	leaving      bool
	leavingPeers map[string]leavingPeer
	// fetching is set while the table is being read from the store.
	fetching bool
	// activeSealing ends the current generation of the table, nil if none has begun. Only the
	// goroutine of keepTable uses it.
	activeSealing *quorum.Sealing
	// sealAnswers receives the voters' answers while a generation is being sealed; nil otherwise.
	sealAnswers chan quorum.Message

	views sync.Map // service to *quorum.View
	// progress is closed and replaced at each received message while there are waiters: leases may
	// have been granted, or views changed.
	progress chan struct{}
	waiters  int
	wake     chan struct{}
}

// New returns a keeper that is idle until Run is called.
func New(cfg Config) *Keeper {
	now := time.Now()
	return &Keeper{
		cfg: cfg, started: now, voter: quorum.NewVoter(cfg.Name, cfg.Incarnation, now),
		member: quorum.NewMember(cfg.Name, cfg.Incarnation, now), supporter: quorum.NewSupporter(cfg.Name, cfg.Incarnation), sequence: quorum.FirstSequence(cfg.Incarnation),
		rounds: map[*round]struct{}{}, incarnations: map[string]peerIncarnation{}, leavingPeers: map[string]leavingPeer{},
		progress: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Run renews leases and maintains the table until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	go k.keepTable(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-k.wake:
		}
		timer.Reset(k.tick(time.Now()))
	}
}

// wakeUp makes Run tick again at once.
func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// tick sends the lease requests that are due and returns the pause until the next tick.
func (k *Keeper) tick(now time.Time) time.Duration {
	k.mu.Lock()
	out, busy := k.voter.Tick(now)
	requests, next := k.dueRequests(now)
	if k.voter.NeedsStore(now) {
		k.confirmSoon(now)
	}
	k.mu.Unlock()
	k.send(append(out, requests...))
	pause := max(next.Sub(now), time.Millisecond)
	if busy {
		return min(pause, busyInterval)
	}
	return pause
}

// dueRequests returns the requests to voters that are due, and when the next ones are. k.mu must be
// held.
func (k *Keeper) dueRequests(now time.Time) ([]quorum.Envelope, time.Time) {
	if table := k.member.Table(); table != nil && !k.member.HasDistances() {
		k.member.SetDistances(k.distances(table))
	}
	mode := quorum.RenewNormal
	switch {
	case k.voter.Recovering():
		mode = quorum.RenewRecovering
	case now.Sub(k.allVotersRequestedAt) < eagerDuration:
		mode = quorum.RenewEagerAll
	case now.Sub(k.leasesRequestedAt) < eagerDuration:
		mode = quorum.RenewEager
	}
	return k.member.Due(now, mode)
}

// send sends messages. Those to this node itself are handled locally.
func (k *Keeper) send(out []quorum.Envelope) {
	for i := range out {
		if out[i].To == k.cfg.Address {
			k.Receive(k.cfg.Address, &out[i].Message)
			continue
		}
		k.cfg.Sender.SendMessage(out[i].To, &out[i].Message)
	}
}

// Receive handles a message from the node at an address.
func (k *Keeper) Receive(from string, m *quorum.Message) {
	now := time.Now()
	k.mu.Lock()
	var out []quorum.Envelope
	var changed []string
	votersReady := false
	switch {
	case m.Kind.ForVoter():
		out = k.voter.Step(now, from, m)
		if m.Kind == quorum.Prepare || m.Kind == quorum.Open {
			k.wakeUp()
		}
	case m.Kind == quorum.Support || m.Kind == quorum.Abandon || m.Kind == quorum.AbandonAgreed:
		out = k.handleSupporter(now, from, m)
	case m.Kind == quorum.Inquire:
		out = []quorum.Envelope{{To: from, Message: k.announcement(m.From, m.Sequence)}}
	default:
		before := k.hasVoterMajority()
		out, changed = k.member.Step(now, from, m)
		votersReady = !before && k.hasVoterMajority()
		out = append(out, k.handleTable(from, m)...)
		k.recoverVoter(now)
		if !k.member.AllComplete() {
			// The voters that have answered can be asked again sooner than the others.
			k.wakeUp()
		}
		k.handleRoundAnswer(now, m)
		k.handleSealed(m)
	}
	changed = k.publish(changed)
	if k.waiters > 0 {
		close(k.progress)
		k.progress = make(chan struct{})
	}
	k.mu.Unlock()
	k.send(out)
	k.notifyChanged(changed)
	if votersReady {
		k.cfg.OnVotersReady()
	}
}

// publish updates the public views of services, and returns the services whose tenure changed. k.mu
// must be held.
func (k *Keeper) publish(services []string) []string {
	var changed []string
	for _, service := range services {
		before, view := k.View(service), k.member.View(service)
		k.views.Store(service, view)
		if before == nil || before.Tenure != view.Tenure || before.Open != view.Open {
			changed = append(changed, service)
		}
	}
	return changed
}

func (k *Keeper) notifyChanged(changed []string) {
	for _, service := range changed {
		view := k.View(service)
		k.cfg.Log.Write(eventlog.TenureChanged, zap.String("service", service), zap.Uint64("ballot", view.Tenure.Ballot),
			zap.String("primary", view.Tenure.Primary), zap.Bool("open", view.Open))
		k.cfg.OnViewChanged(service)
	}
}

// announcement returns a message with the table for a node. k.mu must be held.
func (k *Keeper) announcement(name string, sequence uint64) quorum.Message {
	m := quorum.Message{Kind: quorum.Announce, From: k.cfg.Name, Incarnation: k.cfg.Incarnation, Sequence: sequence, Leaving: k.leaving, NeedsSupport: true}
	if table := k.voter.Table(); table != nil {
		m.Generation, m.Table = table.Generation, table.ForNode(name)
	}
	return m
}

// handleTable records the sender's incarnation and adopts a newer table from a message. It answers
// a sender with an older table. k.mu must be held.
func (k *Keeper) handleTable(from string, m *quorum.Message) []quorum.Envelope {
	switch {
	case m.Kind == quorum.Announce && m.Leaving:
		delete(k.incarnations, m.From)
		k.noteLeaving(m.From, time.Now())
	case m.Kind == quorum.Announce:
		delete(k.leavingPeers, m.From)
		k.incarnations[m.From] = peerIncarnation{m.Incarnation, time.Now(), m.NeedsSupport}
	}
	known := k.voter.Table()
	if m.Table != nil && (known == nil || m.Table.Generation > known.Generation) {
		k.adopt(m.Table)
	}
	if m.Kind == quorum.Unable && known != nil && m.Generation < known.Generation {
		return []quorum.Envelope{{To: from, Message: k.announcement(m.From, 0)}}
	}
	return nil
}

// adopt installs a newer table from another node. If the table lacks its supporters, or its records
// and this node's voter needs them to start the generation, adopt reads it from the store instead.
// k.mu must be held.
func (k *Keeper) adopt(table *quorum.Table) {
	entry := table.VoterEntry(k.cfg.Name)
	if entry != nil && (len(table.Supporters) == 0 || (entry.Incarnation == k.cfg.Incarnation && !table.Complete())) {
		k.fetchSoon()
		return
	}
	k.install(time.Now(), table)
	go k.announce(table, false)
}

// install replaces the table by a newer one. k.mu must be held.
func (k *Keeper) install(now time.Time, table *quorum.Table) {
	known := k.voter.Table()
	if known != nil && table.Generation <= known.Generation {
		return
	}
	k.voter.Install(now, table)
	k.supportedAt, k.operableAt = now, now
	k.member.SetDistances(k.distances(table))
	changed := k.publish(k.member.SetTable(now, table))
	go k.notifyChanged(changed)
	k.wakeUp()
	k.cfg.Log.Write(eventlog.VotersChanged, zap.Uint64("era", table.Generation), zap.Int("voters", len(table.Entries)),
		zap.Bool("voting", k.voter.Normal()), zap.Int("records", len(table.Records)))
}

// recoverVoter lets this node's voter take part again once it has enough records. k.mu must be
// held.
func (k *Keeper) recoverVoter(now time.Time) {
	if !k.voter.Recovering() {
		return
	}
	table := k.voter.Table()
	if k.voter.Recover(now, table.Generation, k.member.RecordSets(k.voter.RecoversAfter())) {
		k.cfg.Log.Write(eventlog.VoterRecovered, zap.Uint64("era", table.Generation), zap.Duration("age", k.voter.Age(now)))
	}
}

// handleSealed passes a voter's answer to the sealing in progress. k.mu must be held.
func (k *Keeper) handleSealed(m *quorum.Message) {
	if m.Kind != quorum.Sealed || k.sealAnswers == nil {
		return
	}
	select {
	case k.sealAnswers <- *m:
	default:
		// The queue is full. The request is repeated to voters without a recorded answer.
	}
}
