package dfconfig

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Index maps the services of one configuration version to their documents. It is
// immutable.
type Index struct {
	Version uint64
	Author  string
	// Attempt identifies the publication of the version. Each version has one.
	Attempt string
	// Previous is the attempt of the previous version, empty for version 1. With it
	// a publisher can determine whether its own version has been replaced since.
	Previous string
	// Services maps service names to content addresses. It is never modified.
	Services map[string]string
}

// Encode returns the canonical encoding of the index.
func (i Index) Encode() ([]byte, error) {
	data, err := json.Marshal(i)
	return data, eris.Wrapf(err, "config: encode index %d", i.Version)
}

// Digest returns the SHA-256 digest of the canonical encoding in hex.
func (i Index) Digest() string {
	data, err := i.Encode()
	if err != nil {
		return ""
	}
	return ContentAddress(data)
}

// DecodeIndex decodes and validates an index.
func DecodeIndex(data []byte) (Index, error) {
	var index Index
	if err := json.Unmarshal(data, &index); err != nil {
		return Index{}, eris.Wrap(err, "config: decode index")
	}
	return index, index.validate()
}

func (i Index) validate() error {
	if i.Version == 0 || i.Attempt == "" {
		return eris.New("config: an index has no version or no attempt")
	}
	for name, address := range i.Services {
		if !isName(name) || !isContentAddress(address) {
			return eris.Errorf("config: index %d has a malformed entry for service %q", i.Version, name)
		}
	}
	return nil
}

func isContentAddress(text string) bool {
	return len(text) == 64 && strings.Trim(text, "0123456789abcdef") == ""
}

// WithService returns a copy of the index with a service added or replaced.
func (i Index) WithService(name, address string) Index {
	next := i.clone()
	next.Services[name] = address
	return next
}

// WithoutService returns a copy of the index without a service.
func (i Index) WithoutService(name string) Index {
	next := i.clone()
	delete(next.Services, name)
	return next
}

// Next returns the index of the next version with the same services.
func (i Index) Next(author, attempt string) Index {
	i.Previous = i.Attempt
	i.Version++
	i.Author = author
	i.Attempt = attempt
	return i
}

func (i Index) clone() Index {
	services := make(map[string]string, len(i.Services)+1)
	for name, address := range i.Services {
		services[name] = address
	}
	i.Services = services
	return i
}

// Head is the row that points to the current version.
type Head struct {
	Version uint64
	// Index is the object name of the version's index.
	Index   string
	Author  string
	Attempt string
	// Era is the era of the platform in which the head was written. If the platform is
	// in a later one, the head may be from an older copy: a host that knows a later
	// version has not confirmed it yet.
	Era uint64 `json:",omitempty"`
}

// WithEra returns the head as written in an era of the platform.
func (h Head) WithEra(era uint64) Head {
	h.Era = era
	return h
}

// HeadKey is the key of the head's row.
const HeadKey = "config/head"

// ServiceObject returns the object name of a service document.
func ServiceObject(address string) string {
	return "config/service/" + address
}

// IndexObject returns the object name of an index.
func IndexObject(version uint64, attempt string) string {
	return fmt.Sprintf("config/index/%d-%s", version, attempt)
}

// DifferenceObject returns the object name of the difference between a version, as
// published by the attempt, and the previous one.
func DifferenceObject(version uint64, attempt string) string {
	return fmt.Sprintf("config/difference/%d-%s", version, attempt)
}

// Head returns the head that points to the index.
func (i Index) Head() Head {
	return Head{Version: i.Version, Index: IndexObject(i.Version, i.Attempt), Author: i.Author, Attempt: i.Attempt}
}

// Encode returns the row value of the head.
func (h Head) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	return data, eris.Wrap(err, "config: encode head")
}

// DecodeHead decodes and validates the row value of the head.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return Head{}, eris.Wrap(err, "config: decode head")
	}
	if head.Version == 0 || head.Index != IndexObject(head.Version, head.Attempt) {
		return Head{}, eris.Errorf("config: the head of version %d names index %q", head.Version, head.Index)
	}
	return head, nil
}
