package dfcapacity

import (
	"context"
	"fmt"
	"runtime"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfgroup"
)

// changesMeasured is how many changes follow one another at each size.
const changesMeasured = 60

// service is a usual service: one database, three upstreams, some rules.
func service(number int, maxAge dfclock.Millis) dfconfig.Service {
	made := dfconfig.Service{
		Name: fmt.Sprintf("service-%04d", number), Owner: "team-17", SessionMaxAge: maxAge,
		Databases:  []dfconfig.Database{{Name: "main", Slots: 5, ConnectionLimit: 55}},
		Deadlines:  dfconfig.Deadlines{Read: dfconfig.DefaultReadDeadline, Write: dfconfig.DefaultWriteDeadline},
		Priorities: dfconfig.Priorities{Read: dfconfig.DefaultReadPriority, Write: dfconfig.DefaultWritePriority},
	}
	for i := range 3 {
		made.Databases[0].Upstreams = append(made.Databases[0].Upstreams, dfconfig.Upstream{
			ID:         dfgroup.UpstreamID(fmt.Sprintf("upstream-%04d-%d", number, i)),
			DataCentre: fmt.Sprintf("centre-%02d", (number+i)%18),
			Address:    fmt.Sprintf("10.%d.%d.%d:5432", number/250, number%250, i+1),
		})
	}
	for i := range 3 {
		made.Callers = append(made.Callers, dfconfig.Caller{User: fmt.Sprintf("clerk-%d", i), CredentialRef: fmt.Sprintf("env:CLERK_%d", i)})
	}
	return made
}

// published is an adoption at a version with a number of services.
type published struct {
	head     dfconfig.Snapshot
	adoption *dfconfig.Adoption
	// delivery is the processor time of one document that came by itself.
	delivery float64
}

func newPublished(services int) (published, error) {
	index := dfconfig.Index{Services: make(map[string]string, services)}
	documents := make([][]byte, services)
	for i := range services {
		made := service(i, dfconfig.DefaultSessionMaxAge)
		document, err := dfconfig.Encode(made)
		if err != nil {
			return published{}, err
		}
		documents[i] = document
		index.Services[made.Name] = dfconfig.ContentAddress(document)
	}
	adoption := dfconfig.NewAdoption()
	adoption.OfferIndex(index.Next("operator-17", "attempt-0001"))
	started := processorTime()
	for _, document := range documents {
		adoption.Deliver(document)
	}
	return published{adoption.Applied(), adoption, (processorTime() - started) / float64(services)}, nil
}

// change publishes a change of one service and returns its difference.
func (p *published) change(number int) (dfconfig.Difference, error) {
	changed := service(number, dfconfig.DefaultSessionMaxAge+dfclock.Millis(p.head.Version()))
	document, err := dfconfig.Encode(changed)
	if err != nil {
		return dfconfig.Difference{}, err
	}
	next, err := p.head.WithService(changed)
	if err != nil {
		return dfconfig.Difference{}, err
	}
	from := p.head.Version()
	p.head = next.Next("operator-17", fmt.Sprintf("attempt-%04d", from+1))
	p.adoption.OfferIndex(p.head.Index())
	p.adoption.Deliver(document)
	return p.adoption.Difference(from), nil
}

// whole returns the difference that a host without a version gets.
func (p *published) whole() dfconfig.Difference {
	return p.adoption.Difference(0)
}

// configuration measures snapshots, changes and what they put on the wire.
func (m *measurement) configuration(context.Context) error {
	for _, size := range m.sizes.Services {
		source, err := newPublished(size)
		if err != nil {
			return err
		}
		whole, err := source.whole().Encode()
		if err != nil {
			return err
		}
		m.add("config.deliver", size, source.delivery)
		index, err := source.head.Index().Encode()
		if err != nil {
			return err
		}
		m.add("config.index", size, float64(len(index)))
		m.add("config.whole", size, float64(len(whole)))
		if err := m.adopt(size, &source, whole); err != nil {
			return err
		}
	}
	return nil
}

// adopt measures a host that takes the whole configuration and then changes.
func (m *measurement) adopt(size int, source *published, whole []byte) error {
	before, started := memory(), processorTime()
	host := dfconfig.NewAdoption()
	difference, err := dfconfig.DecodeDifference(whole)
	if err != nil {
		return err
	}
	host.OfferDifference(difference)
	difference = dfconfig.Difference{}
	m.add("config.start", size, processorTime()-started)
	m.add("config.memory", size, memory()-before)
	payloads := make([][]byte, changesMeasured)
	sum := 0
	for i := range payloads {
		difference, err = source.change(i * size / changesMeasured)
		if err != nil {
			return err
		}
		if payloads[i], err = difference.Encode(); err != nil {
			return err
		}
		sum += len(payloads[i])
	}
	m.add("config.difference", size, float64(sum)/changesMeasured)
	started = processorTime()
	for _, payload := range payloads {
		if difference, err = dfconfig.DecodeDifference(payload); err != nil {
			return err
		}
		host.OfferDifference(difference)
	}
	m.add("config.change", size, (processorTime()-started)/changesMeasured)
	if host.Applied().Version() != source.head.Version() {
		return errBehind(host.Applied().Version(), source.head.Version())
	}
	runtime.KeepAlive(host)
	return nil
}
