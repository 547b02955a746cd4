package managed

import (
	"math/rand/v2"
	"slices"
	"time"

	"dewknot/internal/proxy/upstream"
)

// Repetition is a copy of an answer that a server sends later on the same connection.
type Repetition struct {
	Delay time.Duration
	// Interrupts makes the server send the copy in the middle of the first answer after Delay.
	Interrupts bool
	// Offset determines where the copy interrupts the other answer.
	Offset int
}

// Limits of repetitions.
const (
	maxRepetitionDelayMS = 400
	// Half of the copies follow soon, while the next answer is awaited.
	maxSoonDelayMS  = 20
	interruptsOneOf = 4
	twiceOneOf      = 3
)

// RepeatOneOf makes the server repeat one of count answers, of operations of any kind. seed
// determines which. A count of 0 ends the fault.
func (s *Server) RepeatOneOf(count int, seed uint64) {
	defer s.lock()()
	s.repeatOneOf, s.repeatSeed = count, seed
}

// Repetitions returns the copies of the connection's next answer that the server sends. It must be
// called once for each answer; the first one is that to the opening of the connection.
func (s *Session) Repetitions() []Repetition {
	unlock := s.server.lock()
	oneOf, seed := s.server.repeatOneOf, s.server.repeatSeed
	unlock()
	s.answered++
	if oneOf == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed+uint64(s.serial), uint64(s.answered)))
	if random.IntN(oneOf) > 0 {
		return nil
	}
	copies := 1
	if random.IntN(twiceOneOf) == 0 {
		copies = 2
	}
	repetitions := make([]Repetition, 0, copies)
	for range copies {
		limit := maxRepetitionDelayMS
		if random.IntN(2) == 0 {
			limit = maxSoonDelayMS
		}
		repetitions = append(repetitions, Repetition{
			Delay:      time.Duration(random.IntN(limit+1)) * time.Millisecond,
			Interrupts: random.IntN(interruptsOneOf) == 0, Offset: random.IntN(1 << 16),
		})
	}
	return repetitions
}

// repeat sends the copies of an answer, if the session does that itself.
func (s *Session) repeat(given answer) {
	if !s.sendsCopies || given.lost {
		return
	}
	for _, repetition := range s.Repetitions() {
		time.AfterFunc(repetition.Delay, func() {
			if repetition.Interrupts && given.err == nil {
				s.interruptingMutex.Lock()
				defer s.interruptingMutex.Unlock()
				s.interrupting = append(s.interrupting, given.result)
				return
			}
			select {
			case s.answers <- given:
			default:
			}
		})
	}
}

// send sends an answer. If a copy interrupts it, the rows that were sent before the copy seem to
// belong to the copy.
func (s *Session) send(given answer) {
	if copied, found := s.takeInterrupting(&given); found {
		copied.Rows = append(slices.Clone(given.result.Rows), copied.Rows...)
		given.result.Rows = nil
		s.deliver(answer{result: copied})
	}
	s.deliver(given)
}

func (s *Session) deliver(given answer) {
	select {
	case s.answers <- given:
	case <-s.broken:
	}
}

// takeInterrupting returns the copy that interrupts an answer, if there is one.
func (s *Session) takeInterrupting(given *answer) (upstream.Result, bool) {
	s.interruptingMutex.Lock()
	defer s.interruptingMutex.Unlock()
	if len(s.interrupting) == 0 || len(given.result.Rows) == 0 || given.lost {
		return upstream.Result{}, false
	}
	copied := s.interrupting[0]
	s.interrupting = s.interrupting[1:]
	return copied, true
}
