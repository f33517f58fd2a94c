package resp

import "sync"

const (
	minBufferBytes = 512
	shrinkDivisor  = 4 // a buffer of which less than this part is used is replaced

	// minPooledBytes is the smallest buffer that is used again. Clients that come and go with large commands would
	// otherwise keep the garbage collector busy.
	minPooledBytes = 32 << 10
)

// pools has unused buffers by their capacity, of which there are few.
var pools sync.Map // of int to *sync.Pool

// newBuffer returns an empty buffer with a capacity.
func newBuffer(capacity int) []byte {
	if capacity >= minPooledBytes {
		if pool, known := pools.Load(capacity); known {
			if buffer, _ := pool.(*sync.Pool).Get().(*[]byte); buffer != nil {
				return (*buffer)[:0]
			}
		}
	}
	return make([]byte, 0, capacity)
}

// releaseBuffer makes a buffer available to newBuffer. It must not be used any more.
func releaseBuffer(buffer []byte) {
	if cap(buffer) < minPooledBytes {
		return
	}
	pool, _ := pools.LoadOrStore(cap(buffer), &sync.Pool{})
	pool.(*sync.Pool).Put(&buffer)
}

// capacityFor returns the capacity of a buffer for size bytes that replaces one with another capacity. It doubles up to
// the size of the largest command.
func capacityFor(size, capacity int) int {
	capacity = max(minBufferBytes, capacity)
	for capacity < size {
		capacity *= 2
	}
	if capacity > MaxBytes {
		return max(size, MaxBytes)
	}
	return capacity
}

// appendWithin appends data to a buffer, which it replaces by a larger one if necessary.
func appendWithin(buffer, data []byte) []byte {
	size := len(buffer) + len(data)
	if size == 0 {
		return nil
	}
	if size > cap(buffer) {
		larger := append(newBuffer(capacityFor(size, cap(buffer))), buffer...)
		releaseBuffer(buffer)
		buffer = larger
	}
	return append(buffer, data...)
}

// shrink returns a buffer with rest, which is a part of it, and replaces a buffer that is much too large.
func shrink(buffer, rest []byte) []byte {
	if len(rest) < cap(buffer)/shrinkDivisor {
		smaller := appendWithin(nil, rest)
		releaseBuffer(buffer)
		return smaller
	}
	return buffer[:copy(buffer, rest)]
}
