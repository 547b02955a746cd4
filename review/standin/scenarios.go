package main

import (
	"fmt"
	"time"
)

// scenarios bring the disruption of a case about.
var scenarios = map[string]func(*world) error{
	"late-order":    lateOrder,
	"held-replicas": heldReplicas,
}

const (
	primaryID = "i-2f00000001"
	// targetID is the replica that has received most.
	targetID = "i-2f00000002"
)

// lateOrder: the platform gives no answer to the orders of some seconds and carries them out later.
// Their target is cut from the store, so its entry goes, and returns before they are carried out.
func lateOrder(w *world) error {
	target, primary := w.group.servers[targetID], w.group.servers[primaryID]
	record.add("fault", targetID+" is cut from the store")
	w.group.silence(target)
	time.Sleep(1200 * time.Millisecond)
	record.add("fault", "the platform gives no answers to promotions and carries them out 5 s later")
	w.cloud.beLate(5 * time.Second)
	w.group.crash(primary)
	time.Sleep(4500 * time.Millisecond)
	record.add("fault", "the platform answers again")
	w.cloud.beLate(0)
	time.Sleep(time.Second)
	record.add("fault", targetID+" reaches the store again")
	w.group.reachStoreAgain(target)
	time.Sleep(9 * time.Second)
	return nil
}

// heldReplicas: the primary goes dark for 3 s while the platform answers no promotion. The node that
// changes the primary has told the replicas to pause. Its machine is removed for good, and a new one
// takes its place.
func heldReplicas(w *world) error {
	primary := w.group.servers[primaryID]
	record.add("fault", "the platform answers no promotions")
	w.cloud.beSilent(true)
	w.group.goDark(primary, 3*time.Second)
	time.Sleep(500 * time.Millisecond)
	holder := w.fleet.named(w.cloud.lastHolder())
	if holder == nil {
		return fmt.Errorf("no node ordered a promotion")
	}
	record.add("fault", "the machine of "+holder.name+" is removed for good")
	w.fleet.kill(holder)
	time.Sleep(time.Second)
	record.add("fault", "the platform answers promotions again")
	w.cloud.beSilent(false)
	if err := w.fleet.replace(holder); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}
