package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// conn is a client's session.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a session. It fails if READY takes more than 2 s.
func dial(address, database string) (*conn, error) {
	raw, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &conn{raw, bufio.NewReader(raw)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s u1\r\n", database); err != nil {
		_ = c.Close()
		return nil, err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = c.Close()
		return nil, fmt.Errorf("startup: %q %v", line, err)
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}

// query sends a request and returns "COMPLETE", or the code of the error.
func (c *conn) query(id, text string, timeout time.Duration) (string, error) {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(c, "QUERY %s %s\r\n", id, text); err != nil {
		return "", err
	}
	result := ""
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		fields := strings.Fields(line)
		switch fields[0] {
		case "COMPLETE":
			result = "COMPLETE"
		case "ERROR":
			result = fields[1]
		case "READY":
			return result, nil
		}
	}
}
