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
		err := terminateAt(ctx, k.host.settings, database, upstream.Address, action.Names)
		if err != nil {
			k.host.log.Warn().Err(err).Str("Upstream", string(upstream.ID)).Msg("slots: earlier connections not ended")
		}
		event.OK = err == nil
	}
	return event
}

// terminateAt ends connections by application name over a control connection.
func terminateAt(ctx context.Context, settings Settings, database dfconfig.Database, address string, names []string) error {
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
	quoted := make([]string, len(names))
	for i, name := range names {
		quoted[i] = "'" + strings.ReplaceAll(name, "'", "''") + "'"
	}
	sql := "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name IN (" + strings.Join(quoted, ", ") + ")"
	_, err = conn.Exec(ctx, sql).ReadAll()
	return eris.Wrapf(err, "slots: terminate at %s", address)
}
