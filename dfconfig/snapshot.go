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

// Encode returns the canonical encoding of a service, which is its document. Equal
// services have equal encodings.
func Encode(service Service) ([]byte, error) {
	data, err := json.Marshal(service)
	return data, eris.Wrapf(err, "config: encode service %s", service.Name)
}

// Decode decodes and validates a document. Unknown fields are ignored, so that hosts
// with different program versions can share one configuration.
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

// ContentAddress returns the content address of a document, its SHA-256 digest in
// hex.
func ContentAddress(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Snapshot is a configuration version with its services. It is immutable. The zero
// value is version 0 without services.
type Snapshot struct {
	index Index
	// services has exactly the services of the index.
	services map[string]Service
}

// NewSnapshot returns the snapshot of an index. The documents are given by content
// address.
func NewSnapshot(index Index, documents map[string][]byte) (Snapshot, error) {
	return Snapshot{}.WithIndex(index, documents)
}

// decodeVerified decodes a document after checking that it has the content address,
// and that it belongs to the service.
func decodeVerified(name, address string, document []byte) (Service, error) {
	if ContentAddress(document) != address {
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

// Version returns the version number, which increases by one with each publication.
func (s Snapshot) Version() uint64 {
	return s.index.Version
}

// Index returns the index of the snapshot.
func (s Snapshot) Index() Index {
	return s.index
}

// Service returns a service by name.
func (s Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns the names of all services in ascending order.
func (s Snapshot) Services() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Groups returns the IDs of all database groups, ordered by service name.
func (s Snapshot) Groups() []dfgroup.ID {
	var groups []dfgroup.ID
	for _, name := range s.Services() {
		for _, database := range s.services[name].Databases {
			groups = append(groups, s.services[name].Group(database.Name))
		}
	}
	return groups
}

// Database returns the database of a database group.
func (s Snapshot) Database(group dfgroup.ID) (Database, bool) {
	name, database, ok := strings.Cut(string(group), "/")
	if !ok {
		return Database{}, false
	}
	return s.services[name].Database(database)
}

// Caller returns a caller of a service by user name.
func (s Snapshot) Caller(service, user string) (Caller, bool) {
	return s.services[service].Caller(user)
}

// Freshness returns the freshness requirements of a read of a service.
func (s Snapshot) Freshness(service string, query Query) (Freshness, bool) {
	found, ok := s.services[service]
	if !ok {
		return Freshness{}, false
	}
	return found.Freshness(query), true
}

// WithService returns a copy of the snapshot with a service added or replaced, under
// the same version number.
func (s Snapshot) WithService(service Service) (Snapshot, error) {
	document, err := Encode(service)
	if err != nil {
		return Snapshot{}, err
	}
	next := s.clone()
	next.index = s.index.WithService(service.Name, ContentAddress(document))
	next.services[service.Name] = service
	return next, nil
}

// WithoutService returns a copy of the snapshot without a service, under the same
// version number.
func (s Snapshot) WithoutService(name string) Snapshot {
	next := s.clone()
	next.index = s.index.WithoutService(name)
	delete(next.services, name)
	return next
}

// Next returns the snapshot with the next version number.
func (s Snapshot) Next(author, attempt string) Snapshot {
	s.index = s.index.Next(author, attempt)
	return s
}

// WithIndex returns the snapshot of another index. Services with an unchanged
// content address are reused, the others are decoded from the documents.
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
		service, err := decodeVerified(name, address, document)
		if err != nil {
			return Snapshot{}, err
		}
		services[name] = service
	}
	return Snapshot{index: index, services: services}, nil
}

func (s Snapshot) clone() Snapshot {
	services := make(map[string]Service, len(s.services)+1)
	for name, service := range s.services {
		services[name] = service
	}
	return Snapshot{index: s.index, services: services}
}
