package dfcontrol

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfgroup"
)

// Activity is what a backend of an upstream does.
type Activity int

// Activities.
const (
	// BackendGone means that there is no such backend.
	BackendGone Activity = iota + 1
	// BackendIdle means that the backend runs no statement.
	BackendIdle
	// BackendActive means that the backend runs a statement.
	BackendActive
)

// stateActive is the state of pg_stat_activity while a statement runs.
const stateActive = "active"

// Activity asks what a backend does. The application name guards against a
// process number that another backend has by now.
func (c *Client) Activity(ctx context.Context, upstream dfgroup.UpstreamID, pid uint32, application string) (Activity, error) {
	sql := fmt.Sprintf("SELECT state FROM pg_stat_activity WHERE pid = %d AND application_name = %s", pid, quote(application))
	row, err := c.value(ctx, upstream, sql)
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

// Terminate ends a backend. What it runs is then rolled back, unless it was
// committed before.
func (c *Client) Terminate(ctx context.Context, upstream dfgroup.UpstreamID, pid uint32, application string) error {
	sql := fmt.Sprintf("SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE pid = %d AND application_name = %s",
		pid, quote(application))
	_, err := c.value(ctx, upstream, sql)
	return err
}

// TransactionStatus asks for pg_xact_status; an empty text means that the
// upstream does not know the identity.
func (c *Client) TransactionStatus(ctx context.Context, upstream dfgroup.UpstreamID, identity uint64) (string, error) {
	text, err := c.value(ctx, upstream, fmt.Sprintf("SELECT pg_xact_status(%d)", identity))
	if err != nil || text == nil {
		return "", err
	}
	return *text, nil
}

// value runs a statement of one column; nil means no row or a null.
func (c *Client) value(ctx context.Context, upstream dfgroup.UpstreamID, sql string) (*string, error) {
	l, found := c.links[upstream]
	if !found {
		return nil, eris.Errorf("control: upstream %s is not in the group", upstream)
	}
	row, err := c.row(ctx, upstream, l.control, sql)
	if err != nil || len(row) == 0 || row[0] == nil {
		return nil, err
	}
	text := string(row[0])
	return &text, nil
}
