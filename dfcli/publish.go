package dfcli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfpublish"
	"dragonflygrade/dfresult"
)

// PublishCommand puts service files in force.
type PublishCommand struct {
	OperatorFlags
	Paths       []string      `arg:"" optional:"" help:"Service files, or directories that are searched for *.toml." type:"path"`
	Remove      []string      `help:"Services to remove, separated by commas."`
	Why         string        `help:"Reason for the audit trail."`
	Check       bool          `help:"Only check the files; needs no platform."`
	Yes         bool          `help:"Publish without asking." short:"y"`
	Wait        bool          `help:"Wait until the version is in force at every host."`
	WaitTimeout time.Duration `help:"Bound of the wait." default:"30s"`
}

// Run publishes.
func (c *PublishCommand) Run(env *environment) error {
	if len(c.Paths)+len(c.Remove) == 0 {
		return usageError{eris.New("publish: name service files or directories, or services to remove")}
	}
	files, err := dfpublish.Collect(c.Paths)
	if err != nil {
		return usageError{err}
	}
	if c.Check {
		return check(env, files)
	}
	platform, err := c.platform()
	if err != nil {
		return err
	}
	defer func() { _ = platform.Close() }()
	return c.publish(env, platform, files)
}

func check(env *environment, files []dfconfig.File) error {
	services, faults := dfconfig.Parse(files)
	if len(faults) > 0 {
		return dfresult.NewError(dfresult.ConfigurationInvalid, "%d faults\n%s", len(faults), faults.String())
	}
	_, err := fmt.Fprintf(env.out, "%d files with %d services have no faults\n", len(files), len(services))
	return err
}

func (c *PublishCommand) publish(env *environment, platform dfplatform.Platform, files []dfconfig.File) error {
	publisher, err := c.publisher(platform)
	if err != nil {
		return err
	}
	services, err := publisher.Check(env.ctx, files)
	if err != nil {
		return err
	}
	plan, err := publisher.Plan(env.ctx, services, c.Remove)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprint(env.out, plan.String()); err != nil {
		return err
	}
	if len(plan.Changes) > 0 && !c.Yes && !confirmed(env) {
		return eris.New("nothing was published")
	}
	published, err := publisher.Publish(env.ctx, plan)
	if err != nil {
		return err
	}
	report(env, published)
	if !c.Wait {
		return nil
	}
	return c.follow(env, publisher, platform, published.Version)
}

// publisher returns a publisher that records in an audit trail of its own.
func (c *PublishCommand) publisher(platform dfplatform.Platform) (*dfpublish.Publisher, error) {
	author, err := c.author()
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	run := fmt.Sprintf("%d-%016x", time.Now().UnixMilli(), random.Uint64())
	trail := dfpublish.NewTrail(author, run)
	return dfpublish.New(platform, dfpublish.Options{
		Author: author,
		Reason: c.Why,
		Random: random,
		Sleep:  dfplatform.Pause,
		Audit:  dfaudit.NewWriter(trail, platform, unixMillis, dfplatform.Pause),
	})
}

func unixMillis() dfclock.Millis {
	return dfclock.Millis(time.Now().UnixMilli())
}

func confirmed(env *environment) bool {
	_, _ = fmt.Fprint(env.out, "publish this? [y/N] ")
	line, err := bufio.NewReader(env.in).ReadString('\n')
	if err != nil {
		return false
	}
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}

func report(env *environment, published dfpublish.Published) {
	text := fmt.Sprintf("version %d was accepted", published.Version)
	if published.Unchanged {
		text = fmt.Sprintf("version %d has all of this already", published.Version)
	}
	if published.Rebased > 0 {
		text += fmt.Sprintf(", after %d publications of others", published.Rebased)
	}
	_, _ = fmt.Fprintln(env.out, text)
	if published.AuditErr != nil {
		_, _ = fmt.Fprintln(env.out, "the audit record may be missing:", published.AuditErr)
	}
}

// follow waits until the version is in force at every host.
func (c *PublishCommand) follow(env *environment, publisher *dfpublish.Publisher, platform dfplatform.Table, version uint64) error {
	ctx, cancel := context.WithTimeout(env.ctx, c.WaitTimeout)
	defer cancel()
	var silent error
	started := time.Now()
	_, err := publisher.Wait(ctx, version, func(ctx context.Context) (map[string]uint64, error) {
		versions, err := c.inForce(ctx, platform)
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			silent = err
		}
		return versions, err
	})
	if err != nil {
		return waitError{errors.Join(err, silent)}
	}
	_, err = fmt.Fprintf(env.out, "version %d is in force at every host after %d ms\n", version, time.Since(started).Milliseconds())
	return err
}
