package dfconfig

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzParse guards against files that crash the parser, faults without a line
// or advice, and accepted services that hosts would refuse.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"../examples/*/*.toml", "testdata/faults/*/*.toml"} {
		paths, err := filepath.Glob(pattern)
		if err != nil || len(paths) == 0 {
			f.Fatal(pattern, err)
		}
		for _, path := range paths {
			data, err := os.ReadFile(path)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		services, faults := Parse([]File{{"fuzz.toml", data}})
		for _, fault := range faults {
			if fault.Line < 1 || fault.What == "" || fault.Instead == "" {
				t.Fatalf("incomplete fault %q", fault)
			}
		}
		if len(faults) > 0 {
			return
		}
		document, err := Encode(services[0])
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(document); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzDecodeDifference guards against payloads that crash a host or change its
// version without matching the digest.
func FuzzDecodeDifference(f *testing.F) {
	adoption := NewAdoption()
	for version := 1; version <= 3; version++ {
		snapshot, err := adoption.InForce().WithService(sample("rod", version))
		if err != nil {
			f.Fatal(err)
		}
		service, _ := snapshot.Service("rod")
		document, err := Encode(service)
		if err != nil {
			f.Fatal(err)
		}
		adoption.OfferIndex(snapshot.Next("ada", "attempt").Index())
		adoption.Deliver(document)
		payload, err := adoption.Difference(uint64(version - 1)).Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
		f.Add(payload[:len(payload)/2])
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		difference, err := DecodeDifference(payload)
		if err != nil {
			return
		}
		host := NewAdoption()
		host.OfferDifference(difference)
		if version := host.InForce().Version(); version != 0 && version != difference.To {
			t.Fatalf("version %d from a difference to %d", version, difference.To)
		}
		if _, err := difference.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}
