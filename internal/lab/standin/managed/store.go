package managed

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"dewknot/internal/base/era"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/objectstore"
)

// Kinds of objects in the store.
const (
	ConfigurationKind = "configurations"
	ServerKind        = "servers"
	LeaseKind         = "leases"
	MemberKind        = "members"
	VoterKind         = "voters"
	ReaderKind        = "readers"
	EvacuationKind    = "evacuations"
)

// storeLatency is the usual latency of the store.
const storeLatency = 4 * time.Millisecond

// Store is a durable store of objects. Its methods are safe for concurrent use.
type Store struct {
	mutex sync.Mutex
	// era increases each time the store is restored from a copy. Objects are kept with revision
	// numbers only; the current era is added in answers.
	era      uint64
	revision uint64
	objects  map[string]map[string]objectstore.Object
	history  []change
	snapshot *storeSnapshot
	// compactedUpTo is the highest revision number that is no longer in the history.
	compactedUpTo uint64
	changed       chan struct{}

	down           bool
	delay          time.Duration
	loseAnswers    int
	isolated       map[string]bool
	createAttempts map[string]int
	watches        int
}

// storeSnapshot is a copy of the store's contents.
type storeSnapshot struct {
	revision uint64
	objects  map[string]map[string]objectstore.Object
	history  []change
}

// Copy keeps a copy of the store's current state for Restore.
func (s *Store) Copy() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.snapshot = &storeSnapshot{revision: s.revision, objects: cloneObjects(s.objects), history: slices.Clone(s.history)}
}

// Restore returns to the state of the last copy and begins a new era.
func (s *Store) Restore() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision, s.objects, s.history = s.snapshot.revision, cloneObjects(s.snapshot.objects), slices.Clone(s.snapshot.history)
	s.wake()
}

func cloneObjects(objects map[string]map[string]objectstore.Object) map[string]map[string]objectstore.Object {
	cloned := make(map[string]map[string]objectstore.Object, len(objects))
	for kind, named := range objects {
		cloned[kind] = maps.Clone(named)
	}
	return cloned
}

// withEra returns an object for an answer, with its revision in the current era.
func (s *Store) withEra(object objectstore.Object) objectstore.Object {
	object.Revision = s.revisionInEra(object.Revision.Number())
	return object
}

func (s *Store) revisionInEra(number uint64) era.Revision {
	revision, err := era.New(s.era, number)
	if err != nil {
		panic(err)
	}
	return revision
}

type change struct {
	kind   string
	object objectstore.Object
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[string]map[string]objectstore.Object{}, changed: make(chan struct{}),
		delay: storeLatency, isolated: map[string]bool{}, createAttempts: map[string]int{},
	}
}

// Era returns the current era.
func (s *Store) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// SetDown sets whether the store rejects all calls.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.wake()
}

// SetDelay sets the latency of the store.
func (s *Store) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// LoseAnswers makes the store apply the next changes without answering.
func (s *Store) LoseAnswers(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseAnswers = count
}

// SetIsolated sets whether a node is cut off from the store.
func (s *Store) SetIsolated(node string, isolated bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isolated[node] = isolated
	s.wake()
}

// CompactHistory drops the history, so that older watches fail.
func (s *Store) CompactHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compactedUpTo = nil, s.revision
	s.wake()
}

// Put stores an object without a condition on its revision, as the platform itself does.
func (s *Store) Put(kind, name string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(kind, name, content)
}

// Remove removes an object if it exists.
func (s *Store) Remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[kind][name]
	if !found {
		return
	}
	s.revision++
	object.Revision, object.Deleted = era.Revision(s.revision), true
	delete(s.objects[kind], name)
	s.history = append(s.history, change{kind, object})
	s.wake()
}

// PublishEntry stores a server's directory entry, or removes it if the server is gone.
func (s *Store) PublishEntry(entry Entry) {
	if entry.Gone {
		s.Remove(ServerKind, entry.ID)
		return
	}
	s.Put(ServerKind, entry.ID, entry)
}

func (s *Store) put(kind, name string, content []byte) objectstore.Object {
	s.revision++
	object := objectstore.Object{Name: name, Revision: era.Revision(s.revision), Content: content}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]objectstore.Object{}
	}
	s.objects[kind][name] = object
	s.history = append(s.history, change{kind, object})
	s.wake()
	return object
}

// CreateAttempts returns how many times nodes tried to create an object of a kind.
func (s *Store) CreateAttempts(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.createAttempts[kind]
}

// Watches returns how many watches nodes have started.
func (s *Store) Watches() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.watches
}

// Count returns the number of objects of a kind.
func (s *Store) Count(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.objects[kind])
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Client is one node's client of the store. It implements objectstore.Store.
type Client struct {
	store *Store
	node  string
}

// Client returns a client for a node.
func (s *Store) Client(node string) *Client { return &Client{s, node} }

var errDown = &objectstore.Error{Outcome: objectstore.NotDone, Detail: "the store is down"}

// lockStore waits for the store's latency and locks the store. On an error the store isn't locked.
func (c *Client) lockStore(ctx context.Context) error {
	c.store.mutex.Lock()
	delay := c.store.delay
	c.store.mutex.Unlock()
	select {
	case <-ctx.Done():
		return &objectstore.Error{Outcome: objectstore.Unknown, Detail: "no answer in time"}
	case <-time.After(delay):
	}
	c.store.mutex.Lock()
	if c.store.isolated[c.node] {
		c.store.mutex.Unlock()
		<-ctx.Done()
		return &objectstore.Error{Outcome: objectstore.Unknown, Detail: "the node is cut off"}
	}
	if c.store.down {
		c.store.mutex.Unlock()
		return errDown
	}
	return nil
}

// ListStale implements objectstore.Store.
func (c *Client) ListStale(ctx context.Context, kind string) ([]objectstore.Object, error) {
	objects, _, err := c.List(ctx, kind)
	return objects, err
}

// List implements objectstore.Store.
func (c *Client) List(ctx context.Context, kind string) ([]objectstore.Object, era.Revision, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.lockStore(limited); err != nil {
		return nil, 0, err
	}
	defer c.store.mutex.Unlock()
	var objects []objectstore.Object
	for _, object := range c.store.objects[kind] {
		objects = append(objects, c.store.withEra(object))
	}
	slices.SortFunc(objects, func(first, second objectstore.Object) int { return strings.Compare(first.Name, second.Name) })
	return objects, c.store.revisionInEra(c.store.revision), nil
}

// callTimeout is the timeout of a call.
const callTimeout = 1500 * time.Millisecond

// Watch implements objectstore.Store.
func (c *Client) Watch(ctx context.Context, kind string, after era.Revision, wait time.Duration) ([]objectstore.Object, era.Revision, error) {
	limited, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	end := time.Now().Add(wait)
	c.store.mutex.Lock()
	c.store.watches++
	c.store.mutex.Unlock()
	for {
		if err := c.lockStore(limited); err != nil {
			return nil, 0, err
		}
		if number := after.Number(); number < c.store.compactedUpTo || number > c.store.revision {
			current := c.store.era
			c.store.mutex.Unlock()
			return nil, 0, &objectstore.Error{Outcome: objectstore.HistoryGone, Era: current}
		}
		var events []objectstore.Object
		for _, each := range c.store.history {
			if each.kind == kind && each.object.Revision.Number() > after.Number() {
				events = append(events, c.store.withEra(each.object))
			}
		}
		revision, changed := c.store.revisionInEra(c.store.revision), c.store.changed
		c.store.mutex.Unlock()
		if len(events) > 0 || !time.Now().Before(end) {
			return events, revision, nil
		}
		select {
		case <-limited.Done():
			return nil, 0, &objectstore.Error{Outcome: objectstore.Unknown, Detail: "no answer in time"}
		case <-time.After(time.Until(end)):
		case <-changed:
		}
	}
}

// Get implements objectstore.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	if err := c.lockStore(ctx); err != nil {
		return objectstore.Object{}, err
	}
	defer c.store.mutex.Unlock()
	object, found := c.store.objects[kind][name]
	if !found {
		return object, &objectstore.Error{Outcome: objectstore.NotFound, Era: c.store.era}
	}
	return c.store.withEra(object), nil
}

// GetStale implements objectstore.Store.
func (c *Client) GetStale(ctx context.Context, kind, name string) (objectstore.Object, error) {
	return c.Get(ctx, kind, name)
}

// Create implements objectstore.Store.
func (c *Client) Create(ctx context.Context, kind, name string, content []byte) (objectstore.Object, error) {
	c.store.mutex.Lock()
	c.store.createAttempts[kind]++
	c.store.mutex.Unlock()
	return c.change(ctx, kind, name, content, func(_ objectstore.Object, found bool) bool { return !found })
}

// Replace implements objectstore.Store.
func (c *Client) Replace(ctx context.Context, kind, name string, revision era.Revision, content []byte) (objectstore.Object, error) {
	return c.change(ctx, kind, name, content, func(object objectstore.Object, found bool) bool {
		return found && object.Revision.Number() == revision.Number()
	})
}

// Delete implements objectstore.Store.
func (c *Client) Delete(ctx context.Context, kind, name string, revision era.Revision) (uint64, error) {
	if err := c.lockStore(ctx); err != nil {
		return 0, err
	}
	object, found := c.store.objects[kind][name]
	current := c.store.era
	c.store.mutex.Unlock()
	switch {
	case !found:
		return current, &objectstore.Error{Outcome: objectstore.NotFound, Era: current}
	case object.Revision.Number() != revision.Number():
		return current, &objectstore.Error{Outcome: objectstore.Conflict, Era: current}
	}
	c.store.Remove(kind, name)
	return current, nil
}

func (c *Client) change(ctx context.Context, kind, name string, content []byte, allowed func(objectstore.Object, bool) bool) (objectstore.Object, error) {
	if err := c.lockStore(ctx); err != nil {
		return objectstore.Object{}, err
	}
	object, found := c.store.objects[kind][name]
	if !allowed(object, found) {
		current := c.store.era
		c.store.mutex.Unlock()
		return object, &objectstore.Error{Outcome: objectstore.Conflict, Era: current}
	}
	object = c.store.withEra(c.store.put(kind, name, content))
	lost := c.store.loseAnswers > 0
	if lost {
		c.store.loseAnswers--
	}
	c.store.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return object, &objectstore.Error{Outcome: objectstore.Unknown, Detail: "the answer was lost"}
	}
	return object, nil
}

// Decoder decodes the objects of the store.
type Decoder struct{}

// Configuration implements network.Decoder.
func (Decoder) Configuration(content []byte) (*catalog.Configuration, error) {
	var configuration catalog.Configuration
	err := json.Unmarshal(content, &configuration)
	return &configuration, err
}

// Server implements network.Decoder.
func (Decoder) Server(object objectstore.Object) (catalog.Server, error) {
	var entry Entry
	err := json.Unmarshal(object.Content, &entry)
	server := catalog.Server{
		ID: entry.ID, Service: entry.Service, Address: entry.Address, Zone: entry.Zone, Slots: entry.Slots,
		Draining: entry.Draining, Revision: object.Revision, Incarnation: entry.Incarnation,
	}
	if entry.Primary {
		server.Role = catalog.Primary
	}
	return server, err
}

// Promoter accepts promotion orders.
type Promoter struct {
	Groups     map[string]*Group
	mutex      sync.Mutex
	orderDelay time.Duration
	silent     bool
	orders     []PromotionOrder
}

// PromotionOrder is an order as received by the platform.
type PromotionOrder struct {
	Service string
	Server  string
	Holder  string
	Token   uint64
}

// SetOrderDelay makes the platform execute orders after a delay and without an answer. 0 ends the
// fault.
func (p *Promoter) SetOrderDelay(orderDelay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.orderDelay = orderDelay
}

// SetSilent makes the platform neither answer nor execute orders.
func (p *Promoter) SetSilent(silent bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.silent = silent
}

// Orders returns all received orders.
func (p *Promoter) Orders() []PromotionOrder {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.orders)
}

// Promote implements backends.Promoter.
func (p *Promoter) Promote(ctx context.Context, promotion failover.Promotion) failover.PromotionOutcome {
	if !promotion.SendBy.IsZero() && !time.Now().Before(promotion.SendBy) {
		return failover.NotSent
	}
	time.Sleep(storeLatency)
	server, token := promotion.Server, promotion.Token
	p.mutex.Lock()
	p.orders = append(p.orders, PromotionOrder{promotion.Service, server, promotion.Holder, token})
	orderDelay, silent := p.orderDelay, p.silent
	p.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return failover.Unanswered
	}
	group := p.Groups[promotion.Service]
	group.recordToken(token)
	if orderDelay > 0 {
		time.AfterFunc(orderDelay, func() { group.Order(server, token) })
		<-ctx.Done()
		return failover.Unanswered
	}
	if !group.Order(server, token) {
		return failover.Rejected
	}
	return failover.Accepted
}
