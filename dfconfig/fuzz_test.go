package dfconfig

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzParse guards against files that crash the parser, diagnostics without a line or
// a suggestion, and accepted services that hosts cannot decode.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"../examples/*/*.toml", "testdata/diagnostics/*/*.toml"} {
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
		services, diagnostics := Parse([]File{{"fuzz.toml", data}})
		for _, diagnostic := range diagnostics {
			if diagnostic.Line < 1 || diagnostic.Message == "" || diagnostic.Suggestion == "" {
				t.Fatalf("incomplete diagnostic %q", diagnostic)
			}
		}
		if len(diagnostics) > 0 {
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

// FuzzDecodeDifference guards against payloads that crash a host, or that change its
// version although the result does not match the digest.
func FuzzDecodeDifference(f *testing.F) {
	adoption := NewAdoption()
	for version := 1; version <= 3; version++ {
		snapshot, err := adoption.Applied().WithService(sampleService("rod", version))
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
		if version := host.Applied().Version(); version != 0 && version != difference.To {
			t.Fatalf("version %d from a difference to %d", version, difference.To)
		}
		if _, err := difference.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}
