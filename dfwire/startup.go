package dfwire

import (
	"crypto/tls"
	"encoding/binary"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfframe"
	"dragonflygrade/dfresult"
)

// Codes in place of a protocol version.
const (
	codeTLS    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102
)

const (
	parameterCaller = "dragonflygrade.caller"
	parameterToken  = "dragonflygrade.token" //nolint:gosec // a name, not a secret
)

// startup is what a caller asked for.
type startup struct {
	version uint32
	// parameters have lower-case names; options are merged into them.
	parameters map[string]string
	// cancel is set instead for a cancel request.
	cancel *Key
}

// errSilentEnd ends a connection without an answer.
var errSilentEnd = eris.New("the connection ends without an answer")

// negotiate answers encryption requests and returns the startup message.
func (c *caller) negotiate() (startup, error) {
	for range maxNegotiations {
		body, err := c.reader.NextStartup(maxStartupBytes)
		if err != nil {
			return startup{}, startupFault(err)
		}
		if len(body) < 4 {
			return startup{}, dfresult.NewError(dfresult.ProtocolViolation, "the startup message is too short")
		}
		switch code := binary.BigEndian.Uint32(body); code {
		case codeTLS:
			err = c.answerTLS()
		case codeGSS:
			_, err = c.stream.Write([]byte{'N'})
		default:
			return parseStartup(body)
		}
		if err != nil {
			return startup{}, errSilentEnd
		}
	}
	return startup{}, dfresult.NewError(dfresult.ProtocolViolation, "too many encryption requests")
}

func startupFault(err error) error {
	switch {
	case eris.Is(err, dfframe.ErrTooLarge):
		return dfresult.NewError(dfresult.MessageTooLarge, "the startup message exceeds %d bytes", maxStartupBytes)
	case eris.Is(err, dfframe.ErrMalformed):
		return dfresult.NewError(dfresult.ProtocolViolation, "the startup message is malformed")
	}
	return errSilentEnd
}

// answerTLS encrypts the connection if the server can.
func (c *caller) answerTLS() error {
	if c.server.config.TLS == nil || c.encrypted {
		_, err := c.stream.Write([]byte{'N'})
		return err
	}
	// Bytes sent ahead of the handshake could be injected by someone else.
	if c.reader.Buffered() > 0 {
		return errSilentEnd
	}
	if _, err := c.stream.Write([]byte{'S'}); err != nil {
		return err
	}
	secured := tls.Server(c.stream, c.server.config.TLS)
	if err := secured.HandshakeContext(c.ctx); err != nil {
		return err
	}
	c.encrypted = true
	c.attach(secured)
	return nil
}

// parseStartup reads a startup message or a cancel request.
func parseStartup(body []byte) (startup, error) {
	version := binary.BigEndian.Uint32(body)
	if version == codeCancel {
		return parseCancel(body)
	}
	if version>>16 != 3 {
		return startup{}, dfresult.NewError(dfresult.ProtocolViolation, "protocol version %d.%d is not supported", version>>16, version&0xffff)
	}
	parsed := startup{version: version, parameters: map[string]string{}}
	rest := body[4:]
	for len(rest) > 0 && rest[0] != 0 {
		name, after, ok := dfframe.CutString(rest)
		if !ok {
			return startup{}, malformedStartup()
		}
		value, after, ok := dfframe.CutString(after)
		if !ok {
			return startup{}, malformedStartup()
		}
		if len(parsed.parameters) >= maxParameters {
			return startup{}, dfresult.NewError(dfresult.ProtocolViolation, "the startup message has more than %d parameters", maxParameters)
		}
		parsed.parameters[strings.ToLower(string(name))] = string(value)
		rest = after
	}
	if len(rest) != 1 {
		return startup{}, malformedStartup()
	}
	mergeOptions(parsed.parameters)
	return parsed, nil
}

func malformedStartup() error {
	return dfresult.NewError(dfresult.ProtocolViolation, "the startup message is malformed")
}

func parseCancel(body []byte) (startup, error) {
	if len(body) != 12 {
		return startup{}, errSilentEnd
	}
	key := &Key{PID: binary.BigEndian.Uint32(body[4:]), Secret: binary.BigEndian.Uint32(body[8:])}
	return startup{cancel: key}, nil
}

// mergeOptions turns "-c name=value" and "--name=value" into parameters.
func mergeOptions(parameters map[string]string) {
	words := splitOptions(parameters["options"])
	delete(parameters, "options")
	for i := 0; i < len(words); i++ {
		setting := words[i]
		switch {
		case setting == "-c" && i+1 < len(words):
			i++
			setting = words[i]
		case strings.HasPrefix(setting, "-c"), strings.HasPrefix(setting, "--"):
			setting = setting[2:]
		default:
			continue
		}
		if name, value, ok := strings.Cut(setting, "="); ok {
			parameters[strings.ToLower(strings.ReplaceAll(name, "-", "_"))] = value
		}
	}
}

// splitOptions splits at white space that no backslash precedes.
func splitOptions(options string) []string {
	var words []string
	var word strings.Builder
	started, escaped := false, false
	for _, r := range options {
		switch {
		case escaped:
			word.WriteRune(r)
			escaped = false
		case r == '\\':
			started, escaped = true, true
		case r == ' ' || r == '\t' || r == '\n':
			if started {
				words = append(words, word.String())
				word.Reset()
			}
			started = false
		default:
			word.WriteRune(r)
			started = true
		}
	}
	if started {
		words = append(words, word.String())
	}
	return words
}

// opening takes the proxy's own parameters out of the startup parameters.
func (s startup) opening() Opening {
	o := Opening{
		User:   s.parameters["user"],
		Caller: s.parameters[parameterCaller],
		Token:  s.parameters[parameterToken],
	}
	database := s.parameters["database"]
	if database == "" {
		database = o.User
	}
	o.Service, o.Database, _ = strings.Cut(database, "/")
	if o.Caller == "" {
		o.Caller = o.User
	}
	for _, name := range []string{"user", "database", parameterCaller, parameterToken} {
		delete(s.parameters, name)
	}
	o.Parameters = s.parameters
	return o
}

// open authenticates the caller and opens its session. It reports whether the
// message loop may begin; otherwise the caller was told.
func (c *caller) open() bool {
	_ = c.stream.SetDeadline(time.Now().Add(span(c.server.config.StartupTimeout)))
	asked, err := c.negotiate()
	if err != nil {
		c.endStartup(err)
		return false
	}
	if asked.cancel != nil {
		c.server.takeCancel(*asked.cancel)
		return false
	}
	if err := c.admitted(asked); err != nil {
		c.endStartup(err)
		return false
	}
	if err := c.welcome(asked); err != nil {
		c.endStartup(err)
		return false
	}
	_ = c.stream.SetDeadline(time.Time{})
	return true
}

// endStartup tells the caller why it may not go on.
func (c *caller) endStartup(err error) {
	if eris.Is(err, errSilentEnd) {
		return
	}
	refusedCallers.Inc()
	c.fatal(errorResponse("FATAL", err))
}

// admitted checks what does not depend on the password.
func (c *caller) admitted(asked startup) error {
	config := c.server.config
	switch {
	case config.RequireTLS && !c.encrypted:
		return dfresult.NewError(dfresult.TLSRequired, "connect with sslmode=require")
	case c.excess:
		return dfresult.NewError(dfresult.TooManyCallers, "the limit is %d", config.MaxCallers)
	case c.server.draining.Load():
		return dfresult.NewError(dfresult.HostDraining, "connect again to reach another host")
	case asked.parameters["user"] == "":
		return dfresult.NewError(dfresult.ProtocolViolation, "the startup message names no user")
	case asked.parameters["replication"] != "" && !isOff(asked.parameters["replication"]):
		return dfresult.NewError(dfresult.FeatureUnsupported, "replication connections")
	}
	encoding := strings.ToUpper(strings.ReplaceAll(asked.parameters["client_encoding"], "-", ""))
	if encoding != "" && strings.Trim(encoding, "'") != "UTF8" && encoding != "AUTO" {
		return dfresult.NewError(dfresult.FeatureUnsupported, "client_encoding %s; use UTF8", encoding)
	}
	return nil
}

func isOff(value string) bool {
	switch strings.ToLower(value) {
	case "false", "off", "no", "0":
		return true
	}
	return false
}

// welcome authenticates, opens the session and ends the startup.
func (c *caller) welcome(asked startup) error {
	if err := c.negotiateVersion(asked); err != nil {
		return err
	}
	applicationName := asked.parameters["application_name"]
	opening := asked.opening()
	if err := c.authenticate(opening.Service, opening.User); err != nil {
		return err
	}
	opening.Remote = c.raw.RemoteAddr()
	opening.Report = c.report
	session, err := c.server.config.Handler.Open(c.ctx, opening)
	if err != nil {
		return resultOf(err)
	}
	c.setSession(session)
	if err := c.greet(session, opening, applicationName); err != nil {
		return errSilentEnd
	}
	return nil
}

// negotiateVersion offers 3.0 to callers that asked for more.
func (c *caller) negotiateVersion(asked startup) error {
	var unknown []string
	for name := range asked.parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if asked.version == pgproto3.ProtocolVersion30 && len(unknown) == 0 {
		return nil
	}
	return c.write(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0, UnrecognizedOptions: unknown})
}

// greet sends the parameters that drivers expect, and the cancel key.
func (c *caller) greet(session Session, opening Opening, applicationName string) error {
	timeZone := opening.Parameters["timezone"]
	if timeZone == "" {
		timeZone = "UTC"
	}
	reported := [][2]string{
		{"server_version", c.server.config.ServerVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"application_name", applicationName},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", timeZone},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"is_superuser", "off"},
		{"in_hot_standby", "off"},
		{"default_transaction_read_only", "off"},
		{"session_authorization", opening.User},
	}
	var greeting map[string]string
	if greeter, ok := session.(Greeter); ok {
		greeting = greeter.Greeting()
	}
	for _, parameter := range reported {
		value, found := greeting[strings.ToLower(parameter[0])]
		if !found {
			value = parameter[1]
		}
		if err := c.report(parameter[0], value); err != nil {
			return err
		}
	}
	key := c.key()
	secret := binary.BigEndian.AppendUint32(nil, key.Secret)
	err := c.write(
		&pgproto3.BackendKeyData{ProcessID: key.PID, SecretKey: secret},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	)
	if err != nil {
		return err
	}
	return c.writer.Flush()
}
