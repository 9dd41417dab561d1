package dfhost

import (
	"context"
	"os"
	"strings"
	"sync"

	"github.com/xdg-go/scram"

	"dragonflygrade/dfconfig"
	"dragonflygrade/dfresult"
	"dragonflygrade/dftoken"
	"dragonflygrade/dfwire"
)

// opener opens sessions for authenticated callers.
type opener struct {
	host *Host
}

// Open checks service, database and token.
func (o *opener) Open(ctx context.Context, opening dfwire.Opening) (dfwire.Session, error) {
	h := o.host
	snapshot := h.configuration()
	if snapshot.Version() == 0 {
		return nil, dfresult.NewError(dfresult.ConfigurationAbsent, "the host has just started").WithRetryAfter(startHint)
	}
	service, found := snapshot.Service(opening.Service)
	if !found {
		return nil, dfresult.NewError(dfresult.ServiceUnknown, "service %q", opening.Service)
	}
	database, err := chooseDatabase(service, opening.Database)
	if err != nil {
		return nil, err
	}
	s := &session{
		host:    h,
		service: service.Name,
		group:   service.Group(database),
		caller:  opening.Caller,
		token:   dftoken.New(service.Name),
		report: func(name, value string) {
			if err := opening.Report(name, value); err != nil {
				h.log.Debug().Err(err).Msg("session: parameter not reported")
			}
		},
	}
	s.application = opening.Parameters[parameterApplication]
	s.firstApplication, s.status = s.application, statusIdle
	s.settings = newSettingList(startupSettings(opening.Parameters))
	if opening.Token != "" {
		if err := s.presentToken(opening.Token); err != nil {
			return nil, err
		}
	}
	s.version = s.serverVersion(ctx)
	return s, nil
}

// chooseDatabase resolves the database that the caller named, or the only one.
func chooseDatabase(service dfconfig.Service, name string) (string, error) {
	if name == "" && len(service.Databases) == 1 {
		return service.Databases[0].Name, nil
	}
	if _, found := service.Database(name); found {
		return name, nil
	}
	return "", dfresult.NewError(dfresult.ServiceUnknown, "service %q has no database %q: connect to %q", service.Name, name, service.Name+"/"+service.Databases[0].Name)
}

// scramIterations is the minimum that RFC 7677 asks for.
const scramIterations = 4096

// credentialStore derives SCRAM secrets from the credentials that service files
// refer to.
type credentialStore struct {
	host *Host

	mu sync.Mutex
	// derived is keyed by reference and user; deriving takes milliseconds.
	derived map[string]scram.StoredCredentials
}

// Lookup returns the stored credentials of a caller of a service.
func (c *credentialStore) Lookup(service, user string) (scram.StoredCredentials, bool) {
	caller, found := c.host.configuration().Caller(service, user)
	if !found {
		return scram.StoredCredentials{}, false
	}
	secret, found := c.secret(caller.CredentialRef)
	if !found {
		c.host.log.Warn().Str("Service", service).Str("User", user).Msg("session: credential reference not resolved")
		return scram.StoredCredentials{}, false
	}
	return c.derive(caller.CredentialRef, user, secret)
}

func (c *credentialStore) secret(reference string) (string, bool) {
	if secret, found := c.host.settings.Credentials[reference]; found {
		return secret, true
	}
	if name, ok := strings.CutPrefix(reference, "env:"); ok {
		return os.LookupEnv(name)
	}
	if place, ok := strings.CutPrefix(reference, "file:"); ok {
		return secretFromFile(place)
	}
	return "", false
}

// secretFromFile reads "PATH#KEY" from a file with lines of the form KEY=secret.
func secretFromFile(place string) (string, bool) {
	path, key, found := strings.Cut(place, "#")
	if !found {
		return "", false
	}
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file in a service file
	if err != nil {
		return "", false
	}
	for line := range strings.Lines(string(data)) {
		name, secret, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "=")
		if ok && name == key {
			return secret, true
		}
	}
	return "", false
}

func (c *credentialStore) derive(reference, user, secret string) (scram.StoredCredentials, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := reference + "\x00" + user + "\x00" + secret
	if stored, found := c.derived[key]; found {
		return stored, true
	}
	client, err := scram.SHA256.NewClient(user, secret, "")
	if err != nil {
		return scram.StoredCredentials{}, false
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: reference + user, Iters: scramIterations})
	if err != nil {
		return scram.StoredCredentials{}, false
	}
	if c.derived == nil {
		c.derived = make(map[string]scram.StoredCredentials)
	}
	c.derived[key] = stored
	return stored, true
}
