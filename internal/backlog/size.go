package backlog

// Size is the bytes that the message takes in the store.
func (m *Message) Size() int {
	size := recordHeader + 1 + fixedLength + len(m.Body)
	for _, text := range m.texts() {
		size += len(text)
	}
	return size
}
