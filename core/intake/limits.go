package intake

// Parts of the memory and the descriptors of a process.
const (
	unlimited       = 1 << 40
	memoryPart      = 4   // of the memory; the garbage collector keeps the heap below three quarters
	connsPart       = 2   // of these bytes for connections without input, so that they leave room for it
	fileDescriptors = 200 // for files
	socketsPart     = 2   // of the other descriptors; the rest is for connections that the process opens itself
	smallPart       = 8   // of all descriptors, if there are hardly more than those for files
)

// LimitsOf returns the bytes and the number of connections of clients for a process with the given
// bytes of memory and number of descriptors. Zero stands for no limit.
func LimitsOf(memory int64, descriptors int) (bytes int64, conns int) {
	bytes = memory / memoryPart
	if memory == 0 {
		bytes = unlimited
	}
	conns = int(bytes / connsPart / ConnBytes)
	if descriptors > 0 {
		conns = min(conns, max((descriptors-fileDescriptors)/socketsPart, descriptors/smallPart))
	}
	return bytes, max(conns, 1)
}
