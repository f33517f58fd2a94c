package backlog

import (
	"container/heap"
)

// expiryNode is a place in the heaps of expiries: of a lane in the heap of lanes, or of a message in its lane's heap.
type expiryNode struct {
	lane    *lane
	at      int  // place in the lane's heap, or in the heap of lanes
	isLane  bool // at is a place in the heap of lanes: the lane's earliest message is meant
	heapPos int
}

func (n *expiryNode) entry() *entry { return n.lane.at(n.lane.heap[n.heapPos]) }

// expiryWalk goes through stored messages in the order of expiry and leaves the heaps as they are: what lies under a
// node of a heap comes no sooner than the node.
type expiryWalk struct{ nodes []expiryNode }

// Len is part of heap.Interface.
func (w *expiryWalk) Len() int { return len(w.nodes) }

// Less is part of heap.Interface: the earlier expiry comes first.
func (w *expiryWalk) Less(i, j int) bool { return earlier(w.nodes[i].entry(), w.nodes[j].entry()) }

// Swap is part of heap.Interface.
func (w *expiryWalk) Swap(i, j int) { w.nodes[i], w.nodes[j] = w.nodes[j], w.nodes[i] }

// Push is part of heap.Interface; x is an expiryNode.
func (w *expiryWalk) Push(x any) { w.nodes = append(w.nodes, x.(expiryNode)) }

// Pop is part of heap.Interface.
func (w *expiryWalk) Pop() any {
	n := w.nodes[len(w.nodes)-1]
	w.nodes = w.nodes[:len(w.nodes)-1]
	return n
}

func (w *expiryWalk) addLane(lanes laneHeap, at int, now int64) {
	if at < len(lanes) {
		w.add(expiryNode{lane: lanes[at], at: at, isLane: true}, now)
	}
}

func (w *expiryWalk) addMessage(l *lane, at int, now int64) {
	if at < len(l.heap) {
		w.add(expiryNode{lane: l, heapPos: at}, now)
	}
}

func (w *expiryWalk) add(n expiryNode, now int64) {
	if n.entry().expiry <= now {
		heap.Push(w, n)
	}
}

// pop takes the earliest message and adds those that may come next.
func (w *expiryWalk) pop(lanes laneHeap, now int64) expiryNode {
	n := heap.Pop(w).(expiryNode)
	w.addMessage(n.lane, 2*n.heapPos+1, now)
	w.addMessage(n.lane, 2*n.heapPos+2, now)
	if n.isLane {
		w.addLane(lanes, 2*n.at+1, now)
		w.addLane(lanes, 2*n.at+2, now)
	}
	return n
}
