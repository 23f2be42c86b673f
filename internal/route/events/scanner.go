package events

import "bytes"

// scanner collects the bytes of a stream and finds the ends of its events. It examines each byte
// once, however many reads an event takes.
type scanner struct {
	buf  []byte
	line int // start of the first line that is not known to be complete
	next int // first byte that was not examined
}

// add appends bytes of the stream.
func (s *scanner) add(p []byte) { s.buf = append(s.buf, p...) }

// rest returns the bytes that belong to no complete event.
func (s *scanner) rest() []byte { return s.buf }

// size returns the memory that the scanner holds, in bytes.
func (s *scanner) size() int { return cap(s.buf) }

// takeEvents removes the complete events and returns them. An event ends with an empty line.
func (s *scanner) takeEvents() []byte {
	n := s.completeLen()
	if n == 0 {
		return nil
	}
	p := s.buf[:n:n]
	s.buf = bytes.Clone(s.buf[n:])
	s.line, s.next = s.line-n, s.next-n
	return p
}

// completeLen returns the length of the complete events at the start of the buffer.
func (s *scanner) completeLen() int {
	complete := 0
	for {
		line, n := nextLine(s.buf[s.next:])
		end := s.next + len(line)
		switch {
		case n == 0:
			s.next = len(s.buf)
			return complete
		case end > s.line && end+1 == len(s.buf) && s.buf[end] == '\r':
			// An LF that completes the end of this line may follow.
			s.next = end
			return complete
		}
		if end == s.line {
			complete = s.next + n
		}
		s.next += n
		s.line = s.next
	}
}
