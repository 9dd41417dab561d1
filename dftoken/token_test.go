package dftoken

import (
	"encoding/base64"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

func key(id byte) Key {
	return Key{ID: id, Secret: []byte(fmt.Sprintf("secret-of-key-%02d-for-tests", id))}
}

func ring(t testing.TB) KeyRing {
	keys, err := NewKeyRing(key(1))
	require.NoError(t, err)
	return keys
}

func code(t testing.TB, err error) dfresult.Code {
	var result *dfresult.Error
	require.True(t, errors.As(err, &result), "%v", err)
	return result.Code
}

// TestRoundTrip guards against positions that change when a token is signed and parsed.
func TestRoundTrip(t *testing.T) {
	keys := ring(t)
	rapid.Check(t, func(t *rapid.T) {
		token := New(rapid.StringN(0, 20, MaxNameBytes).Draw(t, "service"))
		for range rapid.IntRange(0, 20).Draw(t, "writes") {
			group := dfgroup.ID(fmt.Sprintf("orders/%d", rapid.IntRange(0, 25).Draw(t, "group")))
			token = token.WithPosition(group, dfposition.Position{
				Term:   dfposition.Term(rapid.Uint64().Draw(t, "term")),
				Offset: dfposition.Offset(rapid.Uint64().Draw(t, "offset")),
			})
		}
		text, err := keys.Sign(token)
		require.NoError(t, err)
		require.LessOrEqual(t, len(text), MaxTextBytes)
		back, err := keys.Parse(text, token.Service())
		require.NoError(t, err)
		require.Equal(t, token.Overflowed(), back.Overflowed())
		require.Equal(t, token.Entries(), back.Entries())
	})
}

// TestLargestTokenFits guards against signing a token that Parse rejects as too long.
func TestLargestTokenFits(t *testing.T) {
	name := fmt.Sprintf("%0*d", MaxNameBytes-2, 0)
	token := New(name)
	for i := range MaxPositions {
		token = token.WithPosition(dfgroup.ID(fmt.Sprintf("%s%02d", name, i)),
			dfposition.Position{Term: 1<<64 - 1, Offset: 1<<64 - 1})
	}
	text, err := ring(t).Sign(token)
	require.NoError(t, err)
	_, err = ring(t).Parse(text, name)
	require.NoError(t, err)
}

// TestOverflowIsUnknown guards against treating a group whose position was dropped as one
// without writes.
func TestOverflowIsUnknown(t *testing.T) {
	token := New("orders")
	_, known := token.Position("g0")
	require.True(t, known)
	for i := range MaxPositions + 1 {
		token = token.WithPosition(dfgroup.ID(fmt.Sprintf("g%d", i)), dfposition.Position{Term: 1, Offset: 5})
	}
	_, known = token.Position("g0")
	require.False(t, known)
	_, known = token.Position("g1")
	require.True(t, known)
	_, known = token.Position("other")
	require.False(t, known)
}

// TestPositionNeverDecreases guards against a late answer of an older write that lowers
// the position.
func TestPositionNeverDecreases(t *testing.T) {
	token := New("orders").WithPosition("g", dfposition.Position{Term: 2, Offset: 10})
	token = token.WithPosition("g", dfposition.Position{Term: 1, Offset: 90})
	position, _ := token.Position("g")
	require.Equal(t, "2:10", position.String())
}

// TestRotation guards against rejecting tokens while hosts rotate keys one after another.
func TestRotation(t *testing.T) {
	old := ring(t)
	accepting, err := old.WithAccepted(key(2))
	require.NoError(t, err)
	signing, err := accepting.WithSigning(2)
	require.NoError(t, err)
	retired, err := signing.WithoutKey(1)
	require.NoError(t, err)
	before, err := old.Sign(New("s"))
	require.NoError(t, err)
	after, err := signing.Sign(New("s"))
	require.NoError(t, err)
	for _, keys := range []KeyRing{accepting, signing} {
		for _, text := range []string{before, after} {
			_, err = keys.Parse(text, "s")
			require.NoError(t, err)
		}
	}
	_, err = retired.Parse(before, "s")
	require.Equal(t, dfresult.TokenKeyUnknown, code(t, err))
	_, err = accepting.WithAccepted(key(3))
	require.ErrorContains(t, err, "retire one")
	_, err = signing.WithoutKey(2)
	require.Error(t, err)
	_, err = old.WithAccepted(Key{ID: 9, Secret: []byte("short")})
	require.Error(t, err)
}

// TestParseErrors guards against errors that do not state why a token was rejected.
func TestParseErrors(t *testing.T) {
	keys := ring(t)
	good, err := keys.Sign(New("orders").WithPosition("g", dfposition.Position{Term: 1, Offset: 7}))
	require.NoError(t, err)
	data, err := base64.RawURLEncoding.DecodeString(good)
	require.NoError(t, err)
	signed := func(payload ...byte) []byte { return append(payload, key(1).sign(payload)...) }
	changed := func(at int, value byte) []byte {
		next := append([]byte(nil), data...)
		next[at] = value
		return next
	}
	cases := []struct {
		data []byte
		code dfresult.Code
		want string
	}{
		{data[:5], dfresult.TokenMalformed, "too short"},
		{changed(0, 9), dfresult.TokenMalformed, "format version 9"},
		{changed(1, 7), dfresult.TokenKeyUnknown, "key 7"},
		{changed(6, data[6]^1), dfresult.TokenSignature, "signature"},
		{changed(len(data)-1, data[len(data)-1]^1), dfresult.TokenSignature, "signature"},
		{signed(1, 1, 4, 0, 0), dfresult.TokenMalformed, "flags"},
		{signed(1, 1, 0, 9, 'x'), dfresult.TokenMalformed, "service"},
		{signed(1, 1, 0, 0, 200, 1), dfresult.TokenMalformed, "200 positions"},
		{signed(1, 1, 0, 0, 1, 1, 'g', 1), dfresult.TokenMalformed, "offset"},
		{signed(1, 1, 0, 0, 2, 1, 'g', 1, 1, 1, 'g', 1, 1), dfresult.TokenMalformed, "twice"},
		{signed(1, 1, 0, 0, 0, 0), dfresult.TokenMalformed, "behind the last"},
		{signed(1, 1, 0, 1, 'x', 0), dfresult.TokenService, `"x"`},
	}
	for _, c := range cases {
		_, err := keys.Parse(base64.RawURLEncoding.EncodeToString(c.data), "orders")
		require.Equal(t, c.code, code(t, err), c.want)
		require.ErrorContains(t, err, c.want)
	}
	_, err = keys.Parse("no base64!", "orders")
	require.Equal(t, dfresult.TokenMalformed, code(t, err))
	_, err = KeyRing{}.Sign(New("orders"))
	require.Equal(t, dfresult.TokenKeyUnknown, code(t, err))
}

// FuzzParse guards against panics on malicious text and against accepting a token that
// cannot be signed and parsed again.
func FuzzParse(f *testing.F) {
	keys := ring(f)
	f.Fuzz(func(t *testing.T, text string) {
		token, err := keys.Parse(text, "orders")
		if err != nil {
			code(t, err)
			return
		}
		again, err := keys.Sign(token)
		require.NoError(t, err)
		_, err = keys.Parse(again, "orders")
		require.NoError(t, err)
	})
}

// FuzzDecode guards against errors in decoding fields. FuzzParse does not reach them,
// because it does not find valid signatures.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, fields []byte) {
		token, err := decode(append([]byte{formatVersion, 1, 0}, fields...))
		if err == nil {
			require.LessOrEqual(t, len(token.entries), MaxPositions)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	keys := ring(b)
	token := New("orders")
	for i := range 3 {
		token = token.WithPosition(dfgroup.ID(fmt.Sprintf("orders/db%d", i)), dfposition.Position{Term: 3, Offset: 123456789})
	}
	text, err := keys.Sign(token)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := keys.Parse(text, "orders"); err != nil {
			b.Fatal(err)
		}
	}
}
