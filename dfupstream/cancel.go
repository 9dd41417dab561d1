package dfupstream

import (
	"context"
	"encoding/binary"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// cancelCode marks a CancelRequest.
const cancelCode = 80877102

// Running returns the number of the batch that runs now, or zero.
func (c *Conn) Running() uint64 {
	return c.running.Load()
}

// Cancel asks the upstream to cancel the batch with the given number, if it
// still runs. The batch does not end before the upstream has taken the request.
func (c *Conn) Cancel(ctx context.Context, batch uint64) error {
	if batch == 0 || c.running.Load() != batch || len(c.secret) == 0 {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	stream, err := c.config.dial(ctx)
	if err != nil {
		return eris.Wrap(err, "cancel")
	}
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(cancelTimeout))
	c.cancelling.Lock()
	defer c.cancelling.Unlock()
	if c.running.Load() != batch {
		return nil
	}
	request := binary.BigEndian.AppendUint32(nil, uint32(12+len(c.secret)))
	request = binary.BigEndian.AppendUint32(request, cancelCode)
	request = binary.BigEndian.AppendUint32(request, c.pid)
	if _, err := stream.Write(append(request, c.secret...)); err != nil {
		c.broken.Store(true)
		return eris.Wrap(err, "cancel")
	}
	// The upstream closes the stream after it delivered the cancel. Without
	// that the cancel may arrive later, so the connection is not used again.
	if _, err := io.Copy(io.Discard, stream); err != nil {
		c.broken.Store(true)
		return eris.Wrap(err, "cancel")
	}
	return nil
}
