package dfcli

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os/user"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfhost"
	"dragonflygrade/dflease"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfremote"
)

// maxStatusBytes bounds the answer of one host.
const maxStatusBytes = 16 << 20

// OperatorFlags tell how an operator reaches platform and hosts, and who the
// operator is.
type OperatorFlags struct {
	PlatformAddress string        `help:"ip:port of the platform." default:"127.0.0.1:6430"`
	Hosts           []string      `help:"ip:port of the hosts' admin addresses, separated by commas; found through the platform if empty."`
	Operator        string        `help:"Your name in the audit trail; the user of the operating system if empty."`
	OperatorKey     string        `help:"Key that the hosts ask of operators."`
	Certificate     string        `help:"PEM file with your certificate for hosts and platform." type:"path"`
	Key             string        `help:"PEM file with its key." type:"path"`
	Authority       string        `help:"PEM file with the authority of this system's hosts." type:"path"`
	SystemName      string        `help:"DNS name in the certificates of this system's hosts." default:"hosts.dragonflygrade"`
	Timeout         time.Duration `help:"Bound of one question to a host." default:"2s"`
}

// author returns who the operator is.
func (f OperatorFlags) author() (string, error) {
	if f.Operator != "" {
		return f.Operator, nil
	}
	current, err := user.Current()
	if err != nil {
		return "", usageError{eris.Wrap(err, "the operating system names no user: give --operator")}
	}
	return current.Username, nil
}

func (f OperatorFlags) certificates() (*dfhost.Certificates, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	certificates, err := dfhost.LoadCertificates(dfhost.CertificateFiles{Certificate: f.Certificate, Key: f.Key, Authority: f.Authority})
	if err != nil {
		return nil, usageError{err}
	}
	return certificates, nil
}

// platform returns a client of the platform.
func (f OperatorFlags) platform() (*dfremote.Client, error) {
	certificates, err := f.certificates()
	if err != nil {
		return nil, err
	}
	var config *tls.Config
	if certificates != nil {
		config = certificates.AddressClient()
	}
	client, err := dialPlatform(f.PlatformAddress, config)
	if err != nil {
		return nil, usageError{err}
	}
	return client, nil
}

// adminAddresses returns the hosts that were given, or those with a lease row.
func (f OperatorFlags) adminAddresses(ctx context.Context, table dfplatform.Table) ([]string, error) {
	if len(f.Hosts) > 0 {
		return f.Hosts, nil
	}
	rows, err := table.List(ctx, dflease.HostKey(""))
	if err != nil {
		return nil, eris.Wrap(err, "find the hosts: give --hosts while the platform does not answer")
	}
	var addresses []string
	for _, row := range rows {
		if host, err := dflease.DecodeHost(row); err == nil && host.Admin != "" {
			addresses = append(addresses, host.Admin)
		}
	}
	return addresses, nil
}

// hostAnswer is the answer of one host.
type hostAnswer struct {
	Address string
	Status  dfhost.Status
	// Fault tells why there is no status, or is empty.
	Fault string `json:",omitempty"`
}

// look asks all hosts at once.
func (f OperatorFlags) look(ctx context.Context, addresses []string) ([]hostAnswer, error) {
	client, scheme, err := f.client()
	if err != nil {
		return nil, err
	}
	answers := make([]hostAnswer, len(addresses))
	var asking sync.WaitGroup
	for i, address := range addresses {
		asking.Go(func() {
			answers[i] = hostAnswer{Address: address}
			if err := f.lookAt(ctx, client, scheme+address+"/status", &answers[i].Status); err != nil {
				answers[i].Fault = err.Error()
			}
		})
	}
	asking.Wait()
	sort.SliceStable(answers, func(i, j int) bool { return answers[i].Status.Host < answers[j].Status.Host })
	return answers, nil
}

// client returns an HTTP client that identifies the operator by certificate.
func (f OperatorFlags) client() (*http.Client, string, error) {
	certificates, err := f.certificates()
	if err != nil || certificates == nil {
		return &http.Client{Timeout: f.Timeout}, "http://", err
	}
	transport := &http.Transport{TLSClientConfig: certificates.Client(f.SystemName)}
	return &http.Client{Timeout: f.Timeout, Transport: transport}, "https://", nil
}

func (f OperatorFlags) lookAt(ctx context.Context, client *http.Client, address string, status *dfhost.Status) error {
	body, err := f.send(ctx, client, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(body, status), "status")
}

// send sends a request with the operator key and name.
func (f OperatorFlags) send(ctx context.Context, client *http.Client, method, address string, form url.Values) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, strings.NewReader(form.Encode()))
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	if len(form) > 0 {
		request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	}
	author, err := f.author()
	if err != nil {
		return nil, err
	}
	request.Header.Set(dfhost.OperatorHeader, author)
	if f.OperatorKey != "" {
		request.Header.Set("Authorization", "Bearer "+f.OperatorKey)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "host")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return nil, eris.Wrap(err, "host")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, eris.Errorf("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// inForce returns the lowest version of each data centre. Every host must
// answer, because a host that is cut off may serve an older version.
func (f OperatorFlags) inForce(ctx context.Context, table dfplatform.Table) (map[string]uint64, error) {
	addresses, err := f.adminAddresses(ctx, table)
	if err != nil {
		return nil, err
	}
	answers, err := f.look(ctx, addresses)
	if err != nil {
		return nil, err
	}
	versions, silent := versionsByCentre(answers)
	if len(silent) > 0 {
		return versions, eris.Errorf("no answer from %s", strings.Join(silent, ", "))
	}
	return versions, nil
}

// versionsByCentre returns the lowest version of each data centre and the
// hosts that gave no answer.
func versionsByCentre(answers []hostAnswer) (versions map[string]uint64, silent []string) {
	versions = make(map[string]uint64)
	for _, answer := range answers {
		if answer.Fault != "" {
			silent = append(silent, answer.Address)
			continue
		}
		centre := answer.Status.DataCentre
		if lowest, seen := versions[centre]; !seen || answer.Status.Version < lowest {
			versions[centre] = answer.Status.Version
		}
	}
	return versions, silent
}

// ChangeCommand moves the lead of a database away from its present primary.
type ChangeCommand struct {
	OperatorFlags
	Database string `arg:"" help:"Database as service/database."`
}

// Run asks a host that holds a slot of the database.
func (c *ChangeCommand) Run(env *environment) error {
	platform, err := c.platform()
	if err != nil {
		return err
	}
	defer func() { _ = platform.Close() }()
	addresses, err := c.adminAddresses(env.ctx, platform)
	if err != nil {
		return err
	}
	answers, err := c.look(env.ctx, addresses)
	if err != nil {
		return err
	}
	client, scheme, err := c.client()
	if err != nil {
		return err
	}
	client.Timeout = 0
	for _, answer := range answers {
		for _, group := range answer.Status.Groups {
			if string(group.Group) != c.Database {
				continue
			}
			_, err := c.send(env.ctx, client, http.MethodPost, scheme+answer.Address+"/change", url.Values{"group": {c.Database}})
			if err == nil {
				_, err = fmt.Fprintln(env.out, "the lead of", c.Database, "was moved away from", group.Primary)
			}
			return err
		}
	}
	return eris.Errorf("no host that answers holds a slot of %s", c.Database)
}
