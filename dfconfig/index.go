package dfconfig

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Index names the document of each service of one version. It is immutable.
type Index struct {
	Version uint64
	Author  string
	// Attempt identifies the publication; one version has one attempt.
	Attempt string
	// Previous is the attempt of the version before, empty for version 1. It
	// lets a publisher find out whether a version of its own was replaced since.
	Previous string
	// Services has the content address by service name; it is never modified.
	Services map[string]string
}

// Encode returns the canonical encoding of the index.
func (i Index) Encode() ([]byte, error) {
	data, err := json.Marshal(i)
	return data, eris.Wrapf(err, "config: encode index %d", i.Version)
}

// Digest returns the SHA-256 of the canonical encoding in hex.
func (i Index) Digest() string {
	data, err := i.Encode()
	if err != nil {
		return ""
	}
	return Address(data)
}

// DecodeIndex reads an encoded index.
func DecodeIndex(data []byte) (Index, error) {
	var index Index
	if err := json.Unmarshal(data, &index); err != nil {
		return Index{}, eris.Wrap(err, "config: decode index")
	}
	return index, index.check()
}

func (i Index) check() error {
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

// WithService returns the index with the address of a service set.
func (i Index) WithService(name, address string) Index {
	next := i.copied()
	next.Services[name] = address
	return next
}

// WithoutService returns the index without a service.
func (i Index) WithoutService(name string) Index {
	next := i.copied()
	delete(next.Services, name)
	return next
}

// Next returns the index of the following version with the same services.
func (i Index) Next(author, attempt string) Index {
	i.Previous = i.Attempt
	i.Version++
	i.Author = author
	i.Attempt = attempt
	return i
}

func (i Index) copied() Index {
	services := make(map[string]string, len(i.Services)+1)
	for name, address := range i.Services {
		services[name] = address
	}
	i.Services = services
	return i
}

// Head is the row that names the version in force.
type Head struct {
	Version uint64
	// Index is the object name of the index of this version.
	Index   string
	Author  string
	Attempt string
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

// DifferenceObject returns the object name of the difference that leads to the
// version of the attempt from the version before.
func DifferenceObject(version uint64, attempt string) string {
	return fmt.Sprintf("config/difference/%d-%s", version, attempt)
}

// Head returns the head that names the index.
func (i Index) Head() Head {
	return Head{Version: i.Version, Index: IndexObject(i.Version, i.Attempt), Author: i.Author, Attempt: i.Attempt}
}

// Encode returns the value of the head's row.
func (h Head) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	return data, eris.Wrap(err, "config: encode head")
}

// DecodeHead reads the value of the head's row.
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
