package dfconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strings"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfgroup"
)

// Encode returns the canonical encoding of a service. Equal services have
// equal encodings.
func Encode(service Service) ([]byte, error) {
	data, err := json.Marshal(service)
	return data, eris.Wrapf(err, "config: encode service %s", service.Name)
}

// Decode reads a canonical encoding. Fields that this version does not know
// are ignored, so that hosts of two versions share one configuration.
func Decode(data []byte) (Service, error) {
	var service Service
	if err := json.Unmarshal(data, &service); err != nil {
		return Service{}, eris.Wrap(err, "config: decode service")
	}
	if !isName(service.Name) || len(service.Databases) == 0 || service.SessionMaxAge <= 0 {
		return Service{}, eris.Errorf("config: document of service %q is incomplete", service.Name)
	}
	for _, database := range service.Databases {
		if database.Slots < 1 || len(database.Upstreams) == 0 || database.Share() < 1 {
			return Service{}, eris.Errorf("config: database %s/%s is incomplete", service.Name, database.Name)
		}
	}
	return service, nil
}

// Address returns the content address of an encoded service: its SHA-256 in hex.
func Address(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Snapshot is an immutable configuration version. The zero value is version 0
// without services.
type Snapshot struct {
	index Index
	// services has one entry for each service of the index.
	services map[string]Service
}

// NewSnapshot joins an index with the documents of its services by address.
func NewSnapshot(index Index, documents map[string][]byte) (Snapshot, error) {
	return Snapshot{}.WithIndex(index, documents)
}

func decodeAt(name, address string, document []byte) (Service, error) {
	if Address(document) != address {
		return Service{}, eris.Errorf("config: document of service %s does not match its address", name)
	}
	service, err := Decode(document)
	if err != nil {
		return Service{}, err
	}
	if service.Name != name {
		return Service{}, eris.Errorf("config: document of service %s names %s", name, service.Name)
	}
	return service, nil
}

// Version returns the version; versions rise by one with each publication.
func (s Snapshot) Version() uint64 {
	return s.index.Version
}

// Index returns the index that the snapshot was made from.
func (s Snapshot) Index() Index {
	return s.index
}

// Service returns the service with the name.
func (s Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns the names of all services in order.
func (s Snapshot) Services() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Groups returns the identities of all database groups in order.
func (s Snapshot) Groups() []dfgroup.ID {
	var groups []dfgroup.ID
	for _, name := range s.Services() {
		for _, database := range s.services[name].Databases {
			groups = append(groups, s.services[name].Group(database.Name))
		}
	}
	return groups
}

// Database returns the database of a group.
func (s Snapshot) Database(group dfgroup.ID) (Database, bool) {
	name, database, ok := strings.Cut(string(group), "/")
	if !ok {
		return Database{}, false
	}
	return s.services[name].Database(database)
}

// Caller returns the caller of a service with the user name.
func (s Snapshot) Caller(service, user string) (Caller, bool) {
	return s.services[service].Caller(user)
}

// Freshness returns what applies to a read of a service.
func (s Snapshot) Freshness(service string, query Query) (Freshness, bool) {
	found, ok := s.services[service]
	if !ok {
		return Freshness{}, false
	}
	return found.Freshness(query), true
}

// WithService returns the snapshot with a service added or replaced. The
// version stays as it is.
func (s Snapshot) WithService(service Service) (Snapshot, error) {
	document, err := Encode(service)
	if err != nil {
		return Snapshot{}, err
	}
	next := s.copied()
	next.index = s.index.WithService(service.Name, Address(document))
	next.services[service.Name] = service
	return next, nil
}

// WithoutService returns the snapshot without a service.
func (s Snapshot) WithoutService(name string) Snapshot {
	next := s.copied()
	next.index = s.index.WithoutService(name)
	delete(next.services, name)
	return next
}

// Next returns the snapshot as the following version.
func (s Snapshot) Next(author, attempt string) Snapshot {
	s.index = s.index.Next(author, attempt)
	return s
}

// WithIndex returns the snapshot of another index. Services whose address did
// not change are taken over; the others are decoded from the documents.
func (s Snapshot) WithIndex(index Index, documents map[string][]byte) (Snapshot, error) {
	services := make(map[string]Service, len(index.Services))
	for name, address := range index.Services {
		if s.index.Services[name] == address {
			services[name] = s.services[name]
			continue
		}
		document, ok := documents[address]
		if !ok {
			return Snapshot{}, eris.Errorf("config: no document for service %s at %s", name, address)
		}
		service, err := decodeAt(name, address, document)
		if err != nil {
			return Snapshot{}, err
		}
		services[name] = service
	}
	return Snapshot{index: index, services: services}, nil
}

func (s Snapshot) copied() Snapshot {
	services := make(map[string]Service, len(s.services)+1)
	for name, service := range s.services {
		services[name] = service
	}
	return Snapshot{index: s.index, services: services}
}
