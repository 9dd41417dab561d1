// Package dfremote is the client of the platform over gRPC.
package dfremote

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfrevision"
)

// Client implements dfplatform.Platform. It is safe for concurrent use.
type Client struct {
	connection *grpc.ClientConn
	platform   dfproto.PlatformClient
	timeout    time.Duration
}

var _ dfplatform.Platform = (*Client)(nil)

// Options are the settings of a client.
type Options struct {
	// Address is "ip:port" of the platform.
	Address string
	// CallTimeout bounds each call; zero takes DefaultCallTimeout.
	CallTimeout dfclock.Millis
	// Credentials are the TLS credentials; nil connects without TLS.
	Credentials credentials.TransportCredentials
}

// Dial returns a client. The connection is made on the first call and again
// after each loss.
func Dial(options Options) (*Client, error) {
	if options.CallTimeout <= 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.Credentials == nil {
		options.Credentials = insecure.NewCredentials()
	}
	connection, err := grpc.NewClient("passthrough:///"+options.Address,
		grpc.WithTransportCredentials(options.Credentials),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(connectParams()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, eris.Wrapf(err, "platform: dial %s", options.Address)
	}
	return &Client{
		connection: connection,
		platform:   dfproto.NewPlatformClient(connection),
		timeout:    time.Duration(options.CallTimeout) * time.Millisecond,
	}, nil
}

// Close closes the connection.
func (c *Client) Close() error {
	return eris.Wrap(c.connection.Close(), "platform: close")
}

// Get implements dfplatform.Table.
func (c *Client) Get(ctx context.Context, key string) (dfplatform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.platform.GetRow(ctx, &dfproto.GetRowRequest{Key: key})
	if err != nil {
		return dfplatform.Row{}, mapped(err, "get row", key)
	}
	return rowFrom(reply.GetRow()), nil
}

// List implements dfplatform.Table.
func (c *Client) List(ctx context.Context, prefix string) ([]dfplatform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.platform.ListRows(ctx, &dfproto.ListRowsRequest{Prefix: prefix})
	if err != nil {
		return nil, mapped(err, "list rows", prefix)
	}
	rows := make([]dfplatform.Row, len(reply.GetRows()))
	for i, row := range reply.GetRows() {
		rows[i] = rowFrom(row)
	}
	return rows, nil
}

// Commit implements dfplatform.Table.
func (c *Client) Commit(ctx context.Context, attempt string, writes ...dfplatform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request := &dfproto.CommitRequest{Attempt: attempt}
	for _, write := range writes {
		request.Writes = append(request.Writes, &dfproto.RowWrite{
			Key: write.Key, IfVersion: uint64(write.IfVersion), Unconditional: write.Unconditional,
			Value: write.Value, Delete: write.Delete,
		})
	}
	_, err := c.platform.Commit(ctx, request)
	return mapped(err, "commit", attempt)
}

// Put implements dfplatform.ObjectStore.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.platform.PutObject(ctx, &dfproto.PutObjectRequest{Name: name, Data: data})
	return mapped(err, "put object", name)
}

// Fetch implements dfplatform.ObjectStore.
func (c *Client) Fetch(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.platform.FetchObject(ctx, &dfproto.FetchObjectRequest{Name: name})
	if err != nil {
		return nil, mapped(err, "fetch object", name)
	}
	return reply.GetData(), nil
}

// Names implements dfplatform.ObjectStore.
func (c *Client) Names(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.platform.ListObjects(ctx, &dfproto.ListObjectsRequest{Prefix: prefix})
	if err != nil {
		return nil, mapped(err, "list objects", prefix)
	}
	return reply.GetNames(), nil
}

// Members implements dfplatform.HostList.
func (c *Client) Members(ctx context.Context) ([]dfplatform.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.platform.ListMembers(ctx, &dfproto.ListMembersRequest{})
	if err != nil {
		return nil, mapped(err, "list members", "")
	}
	members := make([]dfplatform.Member, len(reply.GetMembers()))
	for i, member := range reply.GetMembers() {
		members[i] = dfplatform.Member{
			ID: member.GetID(), Kind: dfplatform.MemberKind(member.GetKind()),
			DataCentre: member.GetDataCentre(), Address: member.GetAddress(), Leaving: member.GetLeaving(),
		}
	}
	return members, nil
}

// SetMember changes the platform's host list, or removes the member from it.
func (c *Client) SetMember(ctx context.Context, member dfplatform.Member, remove bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.platform.SetMember(ctx, &dfproto.SetMemberRequest{Remove: remove, Member: &dfproto.Member{
		ID: member.ID, Kind: string(member.Kind), DataCentre: member.DataCentre,
		Address: member.Address, Leaving: member.Leaving,
	}})
	return mapped(err, "set member", member.ID)
}

func rowFrom(row *dfproto.Row) dfplatform.Row {
	return dfplatform.Row{Key: row.GetKey(), Value: row.GetValue(), Version: dfrevision.Revision(row.GetVersion()), Attempt: row.GetAttempt()}
}

// mapped turns a status into one of dfplatform's errors. Any status that does
// not prove that nothing changed is ErrUnavailable.
func mapped(err error, call, subject string) error {
	if err == nil {
		return nil
	}
	kind := dfplatform.ErrUnavailable
	switch status.Code(err) {
	case codes.NotFound:
		kind = dfplatform.ErrNotFound
	case codes.FailedPrecondition:
		kind = dfplatform.ErrConflict
	case codes.ResourceExhausted:
		kind = dfplatform.ErrRefused
	}
	return eris.Wrapf(kind, "%s %s: %s", call, subject, status.Convert(err).Message())
}
