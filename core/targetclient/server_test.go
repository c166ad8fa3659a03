package targetclient_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// server is a target whose responses are arbitrary bytes.
type server struct {
	Addr string

	mu    sync.Mutex
	calls map[string]int // number of calls read completely, by id
}

// serve starts a server. The function answer writes arbitrary bytes to conn for the
// n-th request of a connection, counted from 0, and reports whether the connection
// stays open.
func serve(t *testing.T, answer func(conn net.Conn, n int, id string) bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{Addr: listener.Addr().String(), calls: map[string]int{}}
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { s.handle(conn, answer) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		conns.Wait()
	})
	return s
}

// handle serves the calls of one connection.
func (s *server) handle(conn net.Conn, answer func(net.Conn, int, string) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var call struct {
			ID string `json:"id"`
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || json.Unmarshal(body, &call) != nil {
			return
		}
		s.mu.Lock()
		s.calls[call.ID]++
		s.mu.Unlock()
		if !answer(conn, n, call.ID) {
			return
		}
	}
}

// count returns the number of calls with the given id that were read completely.
func (s *server) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[id]
}

// message returns an HTTP response with the given status and body.
func message(status int, body string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// write reports whether text was written to conn.
func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
