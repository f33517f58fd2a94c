package backlog

import (
	"container/heap"
)

// expiryNode is a message that expiryWalk has reached, either in the heap of lanes (the message of the lane that
// expires first) or in the heap of its lane.
type expiryNode struct {
	lane         *lane
	laneIndex    int  // position in the heap of lanes, if isLane
	isLane       bool // found in the heap of lanes
	messageIndex int  // position in the lane's heap; 0 if isLane
}

func (n *expiryNode) entry() *entry { return n.lane.at(n.lane.heap[n.messageIndex]) }

// expiryWalk iterates over stored messages in the order of expiry without changing the heaps. It relies on the children
// of a heap node expiring no earlier than the node.
type expiryWalk struct{ nodes []expiryNode }

// Len returns the number of reached messages that pop has not returned yet.
func (w *expiryWalk) Len() int { return len(w.nodes) }

// Less orders nodes by expiry, the earliest first.
func (w *expiryWalk) Less(i, j int) bool {
	return expiresBefore(w.nodes[i].entry(), w.nodes[j].entry())
}

// Swap is called by package heap.
func (w *expiryWalk) Swap(i, j int) { w.nodes[i], w.nodes[j] = w.nodes[j], w.nodes[i] }

// Push is called by package heap; x is an expiryNode.
func (w *expiryWalk) Push(x any) { w.nodes = append(w.nodes, x.(expiryNode)) }

// Pop is called by package heap. Use pop to get the next message.
func (w *expiryWalk) Pop() any {
	n := w.nodes[len(w.nodes)-1]
	w.nodes = w.nodes[:len(w.nodes)-1]
	return n
}

func (w *expiryWalk) addLane(lanes laneHeap, at int, now int64) {
	if at < len(lanes) {
		w.add(expiryNode{lane: lanes[at], laneIndex: at, isLane: true}, now)
	}
}

func (w *expiryWalk) addMessage(l *lane, at int, now int64) {
	if at < len(l.heap) {
		w.add(expiryNode{lane: l, messageIndex: at}, now)
	}
}

func (w *expiryWalk) add(n expiryNode, now int64) {
	if n.entry().expiry <= now {
		heap.Push(w, n)
	}
}

// pop returns the message that expires next and adds its children in the heaps, which may follow it.
func (w *expiryWalk) pop(lanes laneHeap, now int64) expiryNode {
	n := heap.Pop(w).(expiryNode)
	w.addMessage(n.lane, 2*n.messageIndex+1, now)
	w.addMessage(n.lane, 2*n.messageIndex+2, now)
	if n.isLane {
		w.addLane(lanes, 2*n.laneIndex+1, now)
		w.addLane(lanes, 2*n.laneIndex+2, now)
	}
	return n
}
