package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// client is one session of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a session. The key is that of the organisation, or any word. READY may take 2 s, as for the users' clients.
func connect(address, database, key string) (*client, error) {
	deadline := time.Now().Add(2 * time.Second)
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(deadline)
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		c.close()
		return nil, err
	}
	line, err := c.reader.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("startup: %s", strings.TrimSpace(line))
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// query runs a statement and returns the line that answers it: COMPLETE or ERROR.
func (c *client) query(id, text string, budget time.Duration) (string, error) {
	_ = c.conn.SetDeadline(time.Now().Add(budget))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", err
	}
	result := ""
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch word, _, _ := strings.Cut(line, " "); word {
		case "COMPLETE", "ERROR":
			result = line
		case "READY":
			return result, nil
		}
	}
}

// rest waits for a span. It returns false if the session ends meanwhile.
func (c *client) rest(span time.Duration) bool {
	_ = c.conn.SetDeadline(time.Now().Add(span))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *client) close() {
	_ = c.conn.Close()
}

// newID returns an ID as clients use them.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}
