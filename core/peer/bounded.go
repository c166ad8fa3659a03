package peer

import (
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"gypsumward/core/hlc"
	"gypsumward/core/span"
)

// Defaults shared by Server and Client.
const (
	DefaultMaxMessage   = 16 << 20 // bytes of one message
	DefaultMaxCalls     = 256      // calls in flight on one connection
	DefaultWriteTimeout = 5 * time.Second
)

// readAhead bounds the number of bytes that the JSON-RPC library reads beyond the
// end of a message, plus the length of the header of a message.
const readAhead = 8 << 10 // bytes

// meta is the metadata that each message carries besides its content.
type meta struct {
	Timestamp hlc.Timestamp `json:"at"`
	Timeout   span.Span     `json:"left,omitempty"` // time to the caller's deadline; zero in a response
}

// encode returns m in JSON.
func (m meta) encode() *json.RawMessage {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err.Error())
	}
	return (*json.RawMessage)(&data)
}

// decodeMeta decodes raw. The result is zero if raw is nil or not valid.
func decodeMeta(raw *json.RawMessage) meta {
	var m meta
	if raw == nil || json.Unmarshal(*raw, &m) != nil {
		return meta{}
	}
	return m
}

// boundedConn is a connection that limits the size of each message read and the
// time of each write.
type boundedConn struct {
	net.Conn
	maxMessage   int64         // bytes of one message
	writeTimeout time.Duration // time for one write
	lastReceived atomic.Int64  // when bytes were last received, in nanoseconds since 1970
	lastSent     atomic.Int64  // when bytes were last sent, in nanoseconds since 1970

	readBudget int64      // bytes that may still be read for one message
	claim      *connClaim // of the memory for what is read; nil if there is no bound
}

// Read reads at most the bytes left for the current message, and fails with
// ErrTooLong if there are none.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, ErrTooLong
	}
	if int64(len(p)) > c.readBudget {
		p = p[:c.readBudget]
	}
	n, err := c.Conn.Read(p)
	c.readBudget -= int64(n)
	if n > 0 {
		c.lastReceived.Store(time.Now().UnixNano())
		if !c.claim.read(int64(n)) {
			return 0, ErrNoMemory
		}
		if c.claim != nil {
			_ = c.SetReadDeadline(time.Now().Add(messageTimeout))
		}
	}
	return n, err
}

// Write writes p. If it fails or takes longer than the write timeout, it closes the
// connection because nothing can follow an incomplete message.
func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close()
	}
	c.lastSent.Store(time.Now().UnixNano())
	return n, err
}

// boundedStream is the stream of messages on a boundedConn.
type boundedStream struct {
	jsonrpc2.ObjectStream
	conn *boundedConn
}

func newStream(conn *boundedConn) boundedStream {
	return boundedStream{
		ObjectStream: jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{}),
		conn:         conn,
	}
}

// ReadObject reads one message into v.
func (s boundedStream) ReadObject(v any) error {
	s.conn.readBudget = s.conn.maxMessage + readAhead
	if s.conn.claim == nil {
		return s.ObjectStream.ReadObject(v)
	}
	defer s.conn.claim.endRead()
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return s.ObjectStream.ReadObject(v)
}

// discardLogger discards the library's own log, since all relevant errors are
// returned to callers.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}
