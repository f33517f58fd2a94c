package backlog

// Size is the bytes that the message takes in the store.
func (m *Message) Size() int {
	size := recordHeader + 1 + fixedLength + len(m.Body)
	for _, text := range m.texts() {
		size += len(text)
	}
	return size
}

// States is how many messages are stored in each state.
func (s *Store) States() (counts [stateCount]int) {
	for _, l := range s.lanes {
		for state, n := range l.states {
			counts[state] += n
		}
	}
	return counts
}

// Oldest is when the message that was taken on first was taken on, in microseconds of the wall clock; 0 if none is
// stored. It reads one record.
func (s *Store) Oldest() (int64, error) {
	var oldest *lane
	for _, l := range s.lanes {
		if oldest == nil || l.first().seq < oldest.first().seq {
			oldest = l
		}
	}
	if oldest == nil {
		return 0, nil
	}
	m, err := s.read(oldest.id, oldest.first())
	if err != nil {
		return 0, err
	}
	return m.Taken, nil
}
