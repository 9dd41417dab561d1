package dfcontrol

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfgroup"
)

// Activity is the state of a backend process at an upstream.
type Activity int

// Activities of a backend.
const (
	// BackendGone means that the backend no longer exists.
	BackendGone Activity = iota + 1
	// BackendIdle means that the backend is not running a statement.
	BackendIdle
	// BackendActive means that the backend is running a statement.
	BackendActive
)

// stateActive is the value of pg_stat_activity.state while a statement runs.
const stateActive = "active"

// Activity queries pg_stat_activity for a backend. The application name guards
// against a process ID that has been reused by another backend.
func (c *Client) Activity(ctx context.Context, upstream dfgroup.UpstreamID, pid uint32, application string) (Activity, error) {
	sql := fmt.Sprintf("SELECT state FROM pg_stat_activity WHERE pid = %d AND application_name = %s", pid, quote(application))
	row, err := c.queryValue(ctx, upstream, sql)
	switch {
	case err != nil:
		return 0, err
	case row == nil:
		return BackendGone, nil
	case *row == stateActive:
		return BackendActive, nil
	}
	return BackendIdle, nil
}

// Terminate ends a backend. Its transaction is rolled back unless it has already
// committed.
func (c *Client) Terminate(ctx context.Context, upstream dfgroup.UpstreamID, pid uint32, application string) error {
	sql := fmt.Sprintf("SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE pid = %d AND application_name = %s",
		pid, quote(application))
	_, err := c.queryValue(ctx, upstream, sql)
	return err
}

// TransactionStatus returns pg_xact_status of a transaction ID, or an empty string
// if the upstream does not know the ID.
func (c *Client) TransactionStatus(ctx context.Context, upstream dfgroup.UpstreamID, xid uint64) (string, error) {
	text, err := c.queryValue(ctx, upstream, fmt.Sprintf("SELECT pg_xact_status(%d)", xid))
	if err != nil || text == nil {
		return "", err
	}
	return *text, nil
}

// queryValue runs a statement with one result column. It returns nil for no row
// or NULL.
func (c *Client) queryValue(ctx context.Context, upstream dfgroup.UpstreamID, sql string) (*string, error) {
	conns, found := c.connections[upstream]
	if !found {
		return nil, eris.Errorf("control: upstream %s is not in the group", upstream)
	}
	row, err := c.queryRow(ctx, upstream, conns.control, sql)
	if err != nil || len(row) == 0 || row[0] == nil {
		return nil, err
	}
	text := string(row[0])
	return &text, nil
}
