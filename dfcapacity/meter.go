package dfcapacity

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// processorTime returns the user and system time of the process in seconds.
func processorTime() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return seconds(usage.Utime) + seconds(usage.Stime)
}

func seconds(value syscall.Timeval) float64 {
	return time.Duration(value.Nano()).Seconds()
}

// memory returns the bytes of live objects and of stacks after collections.
// The second collection frees what finalizers and pools held.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// traffic counts the bytes of connections, in both directions.
type traffic struct {
	bytes  atomic.Int64
	writes atomic.Int64
}

// counted is a connection at the side that opened it.
type counted struct {
	net.Conn
	traffic *traffic
}

// Read counts what arrives.
func (c counted) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Write counts what is sent.
func (c counted) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}
