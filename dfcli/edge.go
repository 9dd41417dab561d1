package dfcli

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"dragonflygrade/dfedge"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfsuccession"
	"dragonflygrade/platform"
)

// Limits of the process on a machine of the platform.
const (
	// memoryShare is the part of the machine's memory that the Go runtime may
	// use, in percent; the rest is for the binary and socket buffers.
	memoryShare = 70
	// logQueue bounds the lines that wait for the output; more are dropped.
	logQueue = 512
	// settingsPeriod is how often the settings file is checked for a change.
	settingsPeriod = 5 * time.Second
)

// EdgeCommand runs one host on a machine of the platform until SIGTERM.
type EdgeCommand struct {
	Settings    string `help:"Path of the platform's settings file." env:"DRAGONFLYGRADE_BOOT" required:""`
	MetricsPort int    `help:"Port for metrics on the machine's address; 0 serves none." default:"9180"`
	Level       string `help:"Lowest level of log lines: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
}

// Run runs the host.
func (c *EdgeCommand) Run(env *environment) error {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return usageError{err}
	}
	debug.SetMemoryLimit(settings.MemoryLimit * memoryShare / 100)
	writer := newLogWriter(os.Stdout)
	defer func() { _ = writer.Close() }()
	logger := &log.Logger{Level: log.ParseLevel(c.Level), TimeFormat: time.RFC3339Nano, Writer: writer}
	options := dfedge.Options{
		Self:          dfmember.Host{ID: settings.Host, DataCentre: settings.DataCentre, Address: settings.NeighbourAddress},
		CallerAddress: settings.CallerAddress,
		ReadyAddress:  settings.ReadyAddress,
		ForwardPort:   settings.ForwardPort,
		Seeds:         settings.Seeds,
		DrainTimeout:  settings.DrainTimeout,
		GracePeriod:   settings.GracePeriod,

		StrictRevocation: settings.StrictRevocation,
		RevokeTimeout:    settings.RevokeTimeout,
		LimitTolerance:   settings.LimitTolerance,
		OutlierEjection:  settings.OutlierEjection,

		Fencing:  fencingOf(settings),
		Platform: platform.NewClient(settings.StoreAddress, settings.PromotionAddress),
		Dialect:  platform.Dialect{},
		Dial:     platform.Dial,
		Now:      dfedge.BootTime,
	}
	if c.MetricsPort > 0 {
		options.MetricsAddress = net.JoinHostPort(settings.IP, strconv.Itoa(c.MetricsPort))
	}
	edge, err := dfedge.New(options, logger)
	if err != nil {
		return usageError{err}
	}
	go c.reload(env.ctx, edge, logger)
	return edge.Run(env.ctx)
}

// fencingOf translates who keeps replaced leaders from serving.
func fencingOf(settings platform.Settings) dfsuccession.Fencing {
	if settings.FencingEnforced {
		return dfsuccession.PlatformFences{}
	}
	return dfsuccession.HostsFence{}
}

// reload reads the settings again on SIGHUP, and when the file has changed
// without a signal.
func (c *EdgeCommand) reload(ctx context.Context, edge *dfedge.Edge, logger *log.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	last := modified(c.Settings)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if modified(c.Settings).Equal(last) {
				continue
			}
		}
		last = modified(c.Settings)
		settings, err := platform.ReadSettings(c.Settings)
		if err != nil {
			logger.Error().Err(err).Msg("edge: changed settings refused, the earlier ones stay in force")
			continue
		}
		edge.Reload(settings.Seeds, settings.DrainTimeout, settings.GracePeriod)
	}
}

// modified returns when a file was written, or the zero time if it can't be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
