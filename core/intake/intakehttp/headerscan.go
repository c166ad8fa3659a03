package intakehttp

import "bytes"

// headerScan measures the header of a request while it is read. Bytes after its end, which belong to
// the body, are not counted.
type headerScan struct {
	first int64 // bytes of the request line, and of empty lines before it
	rest  int64 // bytes of the other lines, without the empty one at the end

	inRest   bool // the request line has ended
	nonEmpty bool // the current line has a byte besides its end
}

// started reports whether any byte has been read.
func (h *headerScan) started() bool { return h.first > 0 }

// exceeds reports whether the request line or the other lines are longer than limit. They are counted
// apart, so that a header is within the limit whether or not the request line is taken as a part of it.
func (h *headerScan) exceeds(limit int64) bool { return h.first > limit || h.rest > limit }

// add records bytes that have been read, and returns the number of those that belong to the header and
// of the lines that end in them.
func (h *headerScan) add(p []byte) (size, lines int64) {
	for len(p) > 0 {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		n := int64(len(p) - len(rest))
		if len(line) > 1 || (len(line) == 1 && line[0] != '\r') {
			h.nonEmpty = true
		}
		size += n
		if ended {
			lines++
			if h.inRest && !h.nonEmpty {
				return size, lines
			}
		}
		if h.inRest {
			h.rest += n
		} else {
			h.first += n
			h.inRest = ended && h.nonEmpty
		}
		if ended {
			h.nonEmpty = false
		}
		p = rest
	}
	return size, lines
}
