package dfcli

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfstandin"
	"dragonflygrade/dfstandinplatform"
)

// StandinCommand runs stand-ins of outside systems.
type StandinCommand struct {
	Platform StandinPlatformCommand `cmd:"" help:"Run a stand-in of the platform."`
	Upstream StandinUpstreamCommand `cmd:"" help:"Run a stand-in of one upstream."`
}

// StandinPlatformCommand runs the table, the object store and the host list.
type StandinPlatformCommand struct {
	Address         string        `help:"ip:port to listen on." default:"127.0.0.1:6430"`
	WritesPerSecond int           `help:"Rate of writes." default:"400"`
	ReadsPerSecond  int           `help:"Rate of reads." default:"2000"`
	MemberLag       time.Duration `help:"Age of the host list that is shown." default:"1s"`
	Seed            uint64        `help:"Seed of faults." default:"1"`
}

// Run runs the stand-in until SIGTERM.
func (c *StandinPlatformCommand) Run(env *environment) error {
	store := dfstandinplatform.NewStore(dfstandinplatform.Options{
		WritesPerSecond: c.WritesPerSecond,
		ReadsPerSecond:  c.ReadsPerSecond,
		MemberLag:       dfclock.Millis(c.MemberLag.Milliseconds()),
		Seed:            c.Seed,
	})
	server, err := dfstandinplatform.Serve(store, c.Address)
	if err != nil {
		return err
	}
	defer server.Stop()
	fmt.Println("platform:", server.Address())
	<-env.ctx.Done()
	return nil
}

// StandinUpstreamCommand runs one upstream of a group.
type StandinUpstreamCommand struct {
	ID              string        `help:"Name of the upstream." required:""`
	DataCentre      string        `help:"Data centre of the upstream." required:""`
	Address         string        `help:"ip:port to listen on." default:"127.0.0.1:5432"`
	Peers           []string      `help:"The group's other upstreams as id@data-centre@ip:port, separated by commas."`
	Following       string        `help:"Name of the first primary; empty makes this upstream the first primary."`
	ConnectionLimit int           `help:"Limit of ordinary connections." default:"20"`
	ConnectTime     time.Duration `help:"Time that a new connection takes." default:"12ms"`
	Lag             time.Duration `help:"Delay with which a replica applies." default:"0s"`
}

// Run runs the stand-in until SIGTERM.
func (c *StandinUpstreamCommand) Run(env *environment) error {
	options := dfstandin.Options{
		ID:              dfgroup.UpstreamID(c.ID),
		DataCentre:      c.DataCentre,
		Listen:          c.Address,
		Following:       dfgroup.UpstreamID(c.Following),
		ConnectionLimit: c.ConnectionLimit,
		ConnectTime:     dfclock.Millis(c.ConnectTime.Milliseconds()),
		ApplyDelay:      dfclock.Millis(c.Lag.Milliseconds()),
	}
	for _, text := range c.Peers {
		parts := strings.Split(text, "@")
		if len(parts) != 3 {
			return usageError{eris.Errorf("peer %q: write it as id@data-centre@ip:port", text)}
		}
		options.Peers = append(options.Peers, dfstandin.Peer{ID: dfgroup.UpstreamID(parts[0]), DataCentre: parts[1], Address: parts[2]})
	}
	upstream, err := dfstandin.Start(options)
	if err != nil {
		return err
	}
	defer upstream.Stop()
	fmt.Println("upstream:", upstream.Address())
	<-env.ctx.Done()
	return nil
}
