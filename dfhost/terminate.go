package dfhost

import (
	"context"
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfconfig"
	"dragonflygrade/dfcontrol"
	"dragonflygrade/dflease"
)

// terminate ends the connections of earlier owners of a slot at one upstream.
func (k *keeper) terminate(ctx context.Context, action dflease.Terminate) dflease.Event {
	event := dflease.Terminated{Group: action.Group, Epoch: action.Epoch, Upstream: action.Upstream, Again: action.Again}
	database, _ := k.host.configuration().Database(action.Group)
	for _, upstream := range database.Upstreams {
		if upstream.ID != action.Upstream {
			continue
		}
		err := terminateAt(ctx, k.host.settings, database, upstream.Address, action)
		if err != nil {
			k.host.log.Warn().Err(err).Str("Upstream", string(upstream.ID)).Msg("slots: earlier connections not ended")
		}
		event.OK = err == nil
	}
	return event
}

// terminateAt ends the connections that the action matches, over a control connection.
func terminateAt(ctx context.Context, settings Settings, database dfconfig.Database, address string, action dflease.Terminate) error {
	// The host is never resolved: the dial function knows the address.
	config, err := pgconn.ParseConfig("host=127.0.0.1 port=5432 sslmode=disable")
	if err != nil {
		return eris.Wrap(err, "slots: control connection")
	}
	config.User, config.Password, config.Database = dfcontrol.User, settings.ControlPassword, database.Name
	config.Fallbacks = nil
	config.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return settings.DialUpstream(ctx, "tcp", address)
	}
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return eris.Wrapf(err, "slots: control connection to %s", address)
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE "+terminateCondition(action)).ReadAll()
	return eris.Wrapf(err, "slots: terminate at %s", address)
}

// terminateCondition returns the SQL condition for the connections that the action
// matches.
func terminateCondition(action dflease.Terminate) string {
	if action.Prefix != "" {
		return "application_name LIKE " + quoted(action.Prefix+"%") + " AND application_name <> " + quoted(action.Own)
	}
	literals := make([]string, len(action.Names))
	for i, name := range action.Names {
		literals[i] = quoted(name)
	}
	return "application_name IN (" + strings.Join(literals, ", ") + ")"
}
