package hollow

import (
	"math/rand/v2"
)

// historyLength is the number of changes that are kept. A watch that has missed more gets the full list.
const historyLength = 256

// change describes what one revision changed.
type change struct {
	revision int64
	index    int    // index of the changed entry in the list
	encoded  []byte // line for a watch that has the previous revision
}

// registry is discovery's list with its latest changes. It does no I/O and is not safe for concurrent use.
type registry struct {
	list             []entry
	revision         int64
	history          []change // the oldest first, without gaps up to the current revision
	random           *rand.Rand
	fullList         []byte // the full list as it was last encoded
	fullListRevision int64  // revision of fullList; 0 means none
}

func newRegistry(destinations int, seed uint64) *registry {
	return &registry{list: makeList(destinations), revision: firstRevision, random: rand.New(rand.NewPCG(seed, 0))}
}

// publish switches a randomly chosen endpoint between active and leaving, and returns the new revision.
func (r *registry) publish() (int64, error) {
	index := r.random.IntN(len(r.list))
	endpoint := &r.list[index]
	if endpoint.State == stateActive {
		endpoint.State = stateLeaving
	} else {
		endpoint.State = stateActive
	}
	r.revision++
	encoded, err := object{Revision: r.revision, Entries: []entry{*endpoint}}.encode()
	if err != nil {
		return 0, err
	}
	r.history = append(r.history, change{revision: r.revision, index: index, encoded: encoded})
	if len(r.history) > historyLength {
		r.history = append(r.history[:0], r.history[len(r.history)-historyLength:]...)
	}
	return r.revision, nil
}

// since returns the next line for a watch that has the given revision. The line contains the changes after that
// revision, or the full list if the history does not reach back to it.
func (r *registry) since(revision int64) ([]byte, error) {
	missed := r.revision - revision
	switch {
	case missed < 0 || missed > int64(len(r.history)):
		return r.encodeFullList()
	case missed == 1:
		return r.history[len(r.history)-1].encoded, nil
	}
	changes := object{Revision: r.revision, Entries: []entry{}}
	included := map[int]bool{}
	for _, c := range r.history[len(r.history)-int(missed):] {
		if !included[c.index] {
			included[c.index] = true
			changes.Entries = append(changes.Entries, r.list[c.index])
		}
	}
	return changes.encode()
}

// encodeFullList returns the encoded list. It encodes each revision only once.
func (r *registry) encodeFullList() ([]byte, error) {
	if r.fullListRevision != r.revision {
		encoded, err := object{Revision: r.revision, All: true, Entries: r.list}.encode()
		if err != nil {
			return nil, err
		}
		r.fullList, r.fullListRevision = encoded, r.revision
	}
	return r.fullList, nil
}
