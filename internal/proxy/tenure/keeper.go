// Package tenure keeps a node's part in the agreement on primaries: it carries the
// messages of package quorum, renews the node's leases, and moves the table of voters
// to its next era when voters are lost.
//
// What it tells of a service is a quorum.View, read on a request's path without a
// lock. Candidates prepare, choose and open tenures through it.
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

// Times of the runtime.
const (
	// busyInterval is the pause between looks while this node's voter waits for
	// leases to end or has no memory.
	busyInterval = 40 * time.Millisecond
	// eagerSpan is how long after a request has asked for leases voters are asked eagerly.
	eagerSpan = 100 * time.Millisecond
	// partialSpan is how long the nearest voters may disagree on an open tenure until all are
	// asked: news of it reach them within some round trips.
	partialSpan = 150 * time.Millisecond
	// storeLimit bounds a call to the store.
	storeLimit = 1500 * time.Millisecond
)

// Peer is another node, as the members in the store tell of it.
type Peer struct {
	Name    string
	Address string
	Zone    string
	// Region is the zone's; "" if it is not known.
	Region string
	// Capacity is how much work the node takes compared with others; 0 if it is not known.
	Capacity float64
}

// Sender sends messages to other nodes; they may get lost.
type Sender interface {
	// SendMessage sends a message to the node at an address.
	SendMessage(address string, m *quorum.Message)
}

// Config configures a keeper.
type Config struct {
	Name   string
	Zone   string
	Region string
	// Address is where other nodes' messages reach this one.
	Address string
	// Capacity is this node's, as Peer has the others'.
	Capacity float64
	// Life is unique to the process.
	Life  uint64
	Store objectstore.Store
	// StoreEra returns the latest era of the store that is known.
	StoreEra func() uint64
	Kind     string
	Sender   Sender
	// Peers returns the other nodes that are known; nil while no list of them has come.
	Peers func() []Peer
	// Changed is called when a service's view has changed, Voiced when a majority of
	// voters has become known to take part.
	Changed func(service string)
	Voiced  func()
	Log     *eventlog.Log
}

// Keeper is a node's part in the agreement. It is safe for concurrent use.
type Keeper struct {
	cfg     Config
	started time.Time

	mu     sync.Mutex
	voter  *quorum.Voter
	member *quorum.Member
	// tableRevision is the store's revision of the table.
	tableRevision era.Revision
	// wantedAt is when a request last asked for leases, widelyAt when one did for which the
	// nearest voters do not suffice.
	wantedAt time.Time
	widelyAt time.Time
	sequence uint64
	rounds   map[uint64]*round
	// lives are the processes of peers that have answered an inquiry.
	lives map[string]peerLife
	// fetching is set while the table is read from the store.
	fetching bool
	// ending is the end of the present era, nil if none was begun. It belongs to the goroutine
	// that keeps the table.
	ending *quorum.Sealing
	// sealings takes the answers of voters while an era is ended; nil otherwise.
	sealings chan quorum.Message

	views sync.Map // service to *quorum.View
	// granted is closed and replaced when leases were granted, or views changed, while
	// somebody waits.
	granted chan struct{}
	waiting int
	wake    chan struct{}
}

// New returns a keeper that does nothing before Run.
func New(cfg Config) *Keeper {
	now := time.Now()
	return &Keeper{
		cfg: cfg, started: now, voter: quorum.NewVoter(cfg.Name, cfg.Life, now),
		member: quorum.NewMember(cfg.Name, cfg.Life, now), sequence: quorum.FirstSequence(cfg.Life),
		rounds: map[uint64]*round{}, lives: map[string]peerLife{},
		granted: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Run keeps the node's part until ctx ends.
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

// rouse makes the next look come at once.
func (k *Keeper) rouse() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// tick asks for leases that are due, and returns the pause until the next look.
func (k *Keeper) tick(now time.Time) time.Duration {
	k.mu.Lock()
	out, busy := k.voter.Tick(now)
	questions, next := k.due(now)
	k.mu.Unlock()
	k.send(append(out, questions...))
	pause := max(next.Sub(now), time.Millisecond)
	if busy {
		return min(pause, busyInterval)
	}
	return pause
}

// due asks the voters that are to be asked now; the lock is held.
func (k *Keeper) due(now time.Time) ([]quorum.Envelope, time.Time) {
	if table := k.member.Table(); table != nil && !k.member.Placed() {
		k.member.SetDistances(k.distances(table))
	}
	haste := quorum.Calm
	switch {
	case k.voter.Recovering():
		haste = quorum.Urgent
	case now.Sub(k.widelyAt) < eagerSpan:
		haste = quorum.Wide
	case now.Sub(k.wantedAt) < eagerSpan:
		haste = quorum.Eager
	}
	return k.member.Due(now, haste)
}

// send delivers messages; those to this node itself do not travel.
func (k *Keeper) send(out []quorum.Envelope) {
	for i := range out {
		if out[i].To == k.cfg.Address {
			k.Receive(k.cfg.Address, &out[i].Message)
			continue
		}
		k.cfg.Sender.SendMessage(out[i].To, &out[i].Message)
	}
}

// Receive takes a message from the node at an address.
func (k *Keeper) Receive(from string, m *quorum.Message) {
	now := time.Now()
	k.mu.Lock()
	var out []quorum.Envelope
	var changed []string
	voiced := false
	switch {
	case m.Kind.ForVoter():
		out = k.voter.Step(now, from, m)
		if m.Kind == quorum.Prepare || m.Kind == quorum.Open {
			k.rouse()
		}
	case m.Kind == quorum.Inquire:
		out = []quorum.Envelope{{To: from, Message: k.announcement(m.From, m.Sequence)}}
	default:
		before := k.votable()
		out, changed = k.member.Step(now, from, m)
		voiced = !before && k.votable()
		out = append(out, k.learn(from, m)...)
		k.recover(now)
		if !k.member.Settled() {
			// Whoever has answered may be asked again sooner than whoever has not.
			k.rouse()
		}
		k.answered(m)
		k.sealed(m)
	}
	changed = k.publish(changed)
	if k.waiting > 0 {
		close(k.granted)
		k.granted = make(chan struct{})
	}
	k.mu.Unlock()
	k.send(out)
	k.tellChanged(changed)
	if voiced {
		k.cfg.Voiced()
	}
}

// publish makes the views of services public, and returns the services whose tenure has
// changed; the lock is held.
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

func (k *Keeper) tellChanged(changed []string) {
	for _, service := range changed {
		view := k.View(service)
		k.cfg.Log.Write(eventlog.TenureChanged, zap.String("service", service), zap.Uint64("ballot", view.Tenure.Ballot),
			zap.String("primary", view.Tenure.Primary), zap.Bool("open", view.Open))
		k.cfg.Changed(service)
	}
}

// announcement tells a node the table; the lock is held.
func (k *Keeper) announcement(name string, sequence uint64) quorum.Message {
	m := quorum.Message{Kind: quorum.Announce, From: k.cfg.Name, Life: k.cfg.Life, Sequence: sequence}
	if table := k.voter.Table(); table != nil {
		m.Era, m.Table = table.Era, table.Told(name)
	}
	return m
}

// learn takes what a message tells of tables and of its sender; the lock is held.
func (k *Keeper) learn(from string, m *quorum.Message) []quorum.Envelope {
	if m.Kind == quorum.Announce {
		k.lives[m.From] = peerLife{m.Life, time.Now()}
	}
	known := k.voter.Table()
	if m.Table != nil && (known == nil || m.Table.Era > known.Era) {
		k.adopt(m.Table)
	}
	if m.Kind == quorum.Unable && known != nil && m.Era < known.Era {
		return []quorum.Envelope{{To: from, Message: k.announcement(m.From, 0)}}
	}
	return nil
}

// adopt takes a newer table that another node has told; the lock is held. A node that
// begins the era with the table's records needs them from the store.
func (k *Keeper) adopt(table *quorum.Table) {
	if seat := table.Seat(k.cfg.Name); seat != nil && seat.Life == k.cfg.Life && !table.Whole() {
		k.fetchSoon()
		return
	}
	k.install(time.Now(), table)
	go k.announce(table, false)
}

// install takes a newer table; the lock is held.
func (k *Keeper) install(now time.Time, table *quorum.Table) {
	known := k.voter.Table()
	if known != nil && table.Era <= known.Era {
		return
	}
	k.voter.Install(now, table)
	k.member.SetDistances(k.distances(table))
	changed := k.publish(k.member.SetTable(now, table))
	go k.tellChanged(changed)
	k.rouse()
	k.cfg.Log.Write(eventlog.VotersChanged, zap.Uint64("era", table.Era), zap.Int("voters", len(table.Seats)),
		zap.Bool("voting", k.voter.Normal()), zap.Int("records", len(table.Records)))
}

// recover lets this node's voter take part again once it knows enough; the lock is held.
func (k *Keeper) recover(now time.Time) {
	if !k.voter.Recovering() {
		return
	}
	table := k.voter.Table()
	if k.voter.Recover(now, table.Era, k.member.Holdings(k.voter.RecoversAfter())) {
		k.cfg.Log.Write(eventlog.VoterRecovered, zap.Uint64("era", table.Era), zap.Duration("age", k.voter.Age(now)))
	}
}

// sealed gives a voter's answer to the end of an era; the lock is held.
func (k *Keeper) sealed(m *quorum.Message) {
	if m.Kind != quorum.Sealed || k.sealings == nil {
		return
	}
	select {
	case k.sealings <- *m:
	default:
		// The question is repeated to whoever seems not to have answered.
	}
}
