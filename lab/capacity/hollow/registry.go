package hollow

import (
	"math/rand/v2"
)

// historyLength is how many changes a watch that begins late can still get; with more missed it gets the full
// list.
const historyLength = 256

// change is what one revision changed.
type change struct {
	revision int64
	index    int    // of the entry in the list
	encoded  []byte // as a line of a watch that holds the revision before
}

// registry is discovery's list with its latest changes. It does no I/O and takes no locks.
type registry struct {
	list             []entry
	revision         int64
	history          []change // oldest first, without gaps, up to the present revision
	random           *rand.Rand
	fullList         []byte // the list as encoded last
	fullListRevision int64  // its revision; 0: none
}

func newRegistry(destinations int, seed uint64) *registry {
	return &registry{list: makeList(destinations), revision: firstRevision, random: rand.New(rand.NewPCG(seed, 0))}
}

// publish lets an endpoint that is drawn leave, or come back if it was leaving, and returns the new revision.
func (r *registry) publish() (int64, error) {
	index := r.random.IntN(len(r.list))
	target := &r.list[index]
	if target.State == stateActive {
		target.State = stateLeaving
	} else {
		target.State = stateActive
	}
	r.revision++
	encoded, err := object{Revision: r.revision, Targets: []entry{*target}}.encode()
	if err != nil {
		return 0, err
	}
	r.history = append(r.history, change{revision: r.revision, index: index, encoded: encoded})
	if len(r.history) > historyLength {
		r.history = append(r.history[:0], r.history[len(r.history)-historyLength:]...)
	}
	return r.revision, nil
}

// since is what a watch that holds a revision gets: what has changed after it, or the full list where that is not
// known any more.
func (r *registry) since(revision int64) ([]byte, error) {
	missed := r.revision - revision
	switch {
	case missed < 0 || missed > int64(len(r.history)):
		return r.encodeFullList()
	case missed == 1:
		return r.history[len(r.history)-1].encoded, nil
	}
	changes := object{Revision: r.revision, Targets: []entry{}}
	told := map[int]bool{}
	for _, c := range r.history[len(r.history)-int(missed):] {
		if !told[c.index] {
			told[c.index] = true
			changes.Targets = append(changes.Targets, r.list[c.index])
		}
	}
	return changes.encode()
}

// encodeFullList is the encoded list; it is encoded once for each revision.
func (r *registry) encodeFullList() ([]byte, error) {
	if r.fullListRevision != r.revision {
		encoded, err := object{Revision: r.revision, All: true, Targets: r.list}.encode()
		if err != nil {
			return nil, err
		}
		r.fullList, r.fullListRevision = encoded, r.revision
	}
	return r.fullList, nil
}
