package dfstandinwire

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"dragonflygrade/dfstandinstore"
)

const (
	mechanism = "SCRAM-SHA-256"
	// iterations is PostgreSQL's default.
	iterations = 4096
)

// authenticate runs SCRAM-SHA-256, or trusts everyone without passwords.
func (c *Conn) authenticate() error {
	if len(c.server.Passwords) == 0 {
		c.backend.Send(&pgproto3.AuthenticationOk{})
		return nil
	}
	server, err := scram.SHA256.NewServer(c.credentials)
	if err != nil {
		return eris.Wrap(err, "standin: scram")
	}
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	if err := c.backend.Flush(); err != nil {
		return err
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	message, err := c.backend.Receive()
	if err != nil {
		return err
	}
	first, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != mechanism {
		return dfstandinstore.Errorf(codeProtocol, "expected SASL authentication by %s", mechanism)
	}
	return c.converse(server.NewConversation(), string(first.Data))
}

func (c *Conn) converse(conversation *scram.ServerConversation, challenge string) error {
	answer, err := conversation.Step(challenge)
	if err != nil {
		return c.refused()
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	if err := c.backend.Flush(); err != nil {
		return err
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	message, err := c.backend.Receive()
	if err != nil {
		return err
	}
	second, ok := message.(*pgproto3.SASLResponse)
	if !ok {
		return dfstandinstore.Errorf(codeProtocol, "expected a SASL response")
	}
	answer, err = conversation.Step(string(second.Data))
	if err != nil || !conversation.Valid() {
		return c.refused()
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	c.backend.Send(&pgproto3.AuthenticationOk{})
	return nil
}

func (c *Conn) refused() error {
	return dfstandinstore.Errorf(codePassword, "password authentication failed for user %q", c.user)
}

// credentials ignores the name in the exchange, as PostgreSQL does, and takes
// the user of the startup message.
func (c *Conn) credentials(string) (scram.StoredCredentials, error) {
	password, known := c.server.Passwords[c.user]
	if !known {
		return scram.StoredCredentials{}, eris.New("standin: unknown user")
	}
	if stored, cached := c.server.credentials.Load(c.user); cached {
		return stored.(scram.StoredCredentials), nil
	}
	client, err := scram.SHA256.NewClient(c.user, password, "")
	if err != nil {
		return scram.StoredCredentials{}, eris.Wrap(err, "standin: scram")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "dragonflygrade00", Iters: iterations})
	if err == nil {
		c.server.credentials.Store(c.user, stored)
	}
	return stored, err
}
