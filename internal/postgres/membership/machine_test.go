package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// fleet runs machines in virtual time on a network that may drop messages.
type fleet struct {
	machines map[string]*Machine
	queue    []delivery
	now      time.Duration
	drop     func(from, to string) bool
}

type delivery struct {
	at      time.Duration
	from    string
	to      string
	message Message
}

func newFleet(count int) *fleet {
	result := &fleet{machines: map[string]*Machine{}, drop: func(string, string) bool { return false }}
	for index := range count {
		result.start(index, 1)
	}
	return result
}

func address(index int) string { return fmt.Sprintf("n%d", index) }

func (f *fleet) start(index int, incarnation uint64) {
	id := address(index)
	self := Member{ID: id, Incarnation: incarnation, Zone: "z", Addresses: Addresses{Gossip: id}}
	f.machines[id] = New(DefaultSettings(), self, []string{address(0), address(1)}, uint64(index)+1)
}

func (f *fleet) run(duration time.Duration) {
	const step = 50 * time.Millisecond
	for end := f.now + duration; f.now < end; f.now += step {
		for index := range len(f.machines) + 2 {
			if machine := f.machines[address(index)]; machine != nil {
				f.send(machine.self.ID, machine.Tick(f.now))
			}
		}
		f.deliver()
	}
}

func (f *fleet) send(from string, effects []Effect) {
	for _, effect := range effects {
		if !f.drop(from, effect.To) {
			f.queue = append(f.queue, delivery{f.now + 10*time.Millisecond, from, effect.To, effect.Message})
		}
	}
}

func (f *fleet) deliver() {
	for len(f.queue) > 0 && f.queue[0].at <= f.now {
		next := f.queue[0]
		f.queue = f.queue[1:]
		if target := f.machines[next.to]; target != nil {
			f.send(next.to, target.Receive(f.now, next.message))
		}
	}
}

func (f *fleet) requireAll(t must.T, running int) {
	t.Helper()
	for id, machine := range f.machines {
		must.Len(t, running, machine.List(), must.Sprint(id))
	}
}

// The member lists must become complete within seconds after a start from two seeds,
// after a restart and after a network partition, and must lose a dead member.
func TestFleetLifecycle(t *testing.T) {
	fleet := newFleet(12)
	fleet.run(8 * time.Second)
	fleet.requireAll(t, 12)
	delete(fleet.machines, address(5))
	fleet.run(12 * time.Second)
	fleet.requireAll(t, 11)
	fleet.start(5, 2)
	fleet.run(8 * time.Second)
	fleet.requireAll(t, 12)
	half := func(id string) bool { return id < address(5) }
	fleet.drop = func(from, to string) bool { return half(from) != half(to) }
	fleet.run(60 * time.Second)
	must.Less(t, 12, len(fleet.machines[address(0)].List()))
	fleet.drop = func(string, string) bool { return false }
	fleet.run(40 * time.Second)
	fleet.requireAll(t, 12)
}

// Packet loss must not make running members count as dead.
func TestPacketLossKeepsMembersAlive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(8)
		fleet.run(10 * time.Second)
		counter := rapid.IntRange(0, 1000).Draw(t, "offset")
		percent := rapid.IntRange(0, 10).Draw(t, "loss")
		fleet.drop = func(string, string) bool {
			counter = (counter*1103515245 + 12345) & 0x7fffffff
			return counter>>16%100 < percent
		}
		fleet.run(20 * time.Second)
		fleet.requireAll(t, 8)
	})
}
