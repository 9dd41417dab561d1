package dfwire

import (
	"crypto/hmac"
	"crypto/sha256"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/phuslu/log"
	"github.com/xdg-go/scram"

	"dragonflygrade/dfresult"
)

// mechanism is the only SASL mechanism offered.
const mechanism = "SCRAM-SHA-256"

// authenticate runs SCRAM. Unknown users go through the whole exchange, so that
// it does not show which users exist.
func (c *caller) authenticate(service, user string) error {
	stored, known := c.server.config.Credentials.Lookup(service, user)
	if !known {
		stored = c.server.mockCredentials(service, user)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return dfresult.NewError(dfresult.Internal, "SCRAM: %v", err)
	}
	valid, err := c.converse(server.NewConversation())
	if err != nil {
		return err
	}
	if known && valid {
		return c.write(&pgproto3.AuthenticationOk{})
	}
	failedLogins.Inc()
	log.Warn().Str("service", service).Str("user", user).Str("address", c.raw.RemoteAddr().String()).Msg("wire: login failed")
	c.pause(span(c.server.config.LoginDelay))
	return dfresult.NewError(dfresult.AuthenticationFailed, "service %q, user %q", service, user)
}

// converse exchanges the SASL messages and reports whether the proof is right.
func (c *caller) converse(conversation *scram.ServerConversation) (bool, error) {
	if err := c.sendNow(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}}); err != nil {
		return false, err
	}
	body, err := c.nextLogin()
	if err != nil {
		return false, err
	}
	var initial pgproto3.SASLInitialResponse
	if initial.Decode(body) != nil || initial.AuthMechanism != mechanism {
		return false, dfresult.NewError(dfresult.ProtocolViolation, "the SASL answer is malformed")
	}
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return false, dfresult.NewError(dfresult.ProtocolViolation, "SCRAM: %v", err)
	}
	if err := c.sendNow(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return false, err
	}
	if body, err = c.nextLogin(); err != nil {
		return false, err
	}
	answer, err := conversation.Step(string(body))
	if err != nil || !conversation.Valid() {
		return false, nil
	}
	return true, c.write(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
}

// sendNow writes and flushes a message of the startup.
func (c *caller) sendNow(message encodable) error {
	if c.write(message) != nil || c.writer.Flush() != nil {
		return errSilentEnd
	}
	return nil
}

// nextLogin reads a SASL answer.
func (c *caller) nextLogin() ([]byte, error) {
	messageType, body, err := c.reader.Next()
	if err != nil {
		return nil, startupFault(err)
	}
	if messageType != 'p' || len(body) > maxLoginBytes {
		return nil, dfresult.NewError(dfresult.ProtocolViolation, "a SASL answer was expected")
	}
	return body, nil
}

// mockCredentials returns the same salt for the same unknown user each time.
func (s *Server) mockCredentials(service, user string) scram.StoredCredentials {
	keyed := hmac.New(sha256.New, s.config.MockSecret)
	keyed.Write([]byte(service + "\x00" + user))
	sum := keyed.Sum(nil)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(sum[:16]), Iters: mockIterations},
		StoredKey:  sum,
		ServerKey:  sum,
	}
}

// pause delays the caller, but not the shutdown of the server.
func (c *caller) pause(delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}
