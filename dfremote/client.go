// Package dfremote is the client of the platform over gRPC.
package dfremote

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
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
	// eras has the latest era of the platform's store.
	eras dfrevision.Eras
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
	var header metadata.MD
	reply, err := c.platform.GetRow(ctx, &dfproto.GetRowRequest{Key: key}, grpc.Header(&header))
	era, err := c.finish(header, err, "get row", key)
	if err != nil {
		return dfplatform.Row{}, err
	}
	return rowFrom(era, reply.GetRow())
}

// List implements dfplatform.Table.
func (c *Client) List(ctx context.Context, prefix string) ([]dfplatform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var header metadata.MD
	reply, err := c.platform.ListRows(ctx, &dfproto.ListRowsRequest{Prefix: prefix}, grpc.Header(&header))
	era, err := c.finish(header, err, "list rows", prefix)
	if err != nil {
		return nil, err
	}
	rows := make([]dfplatform.Row, len(reply.GetRows()))
	for i, row := range reply.GetRows() {
		if rows[i], err = rowFrom(era, row); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// Commit implements dfplatform.Table. If the store came back from an older copy since
// a condition was read, the result is dfplatform.ErrConflict, or
// dfplatform.ErrUnavailable if only the answer shows it.
func (c *Client) Commit(ctx context.Context, attempt string, writes ...dfplatform.Write) error {
	if err := dfplatform.CheckConditions(c.eras.Latest(), writes...); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request := &dfproto.CommitRequest{Attempt: attempt}
	for _, write := range writes {
		request.Writes = append(request.Writes, &dfproto.RowWrite{
			Key: write.Key, IfVersion: write.IfVersion.Version(), Unconditional: write.Unconditional,
			Value: write.Value, Delete: write.Delete,
		})
	}
	var header metadata.MD
	_, err := c.platform.Commit(ctx, request, grpc.Header(&header))
	era, err := c.finish(header, err, "commit", attempt)
	if err != nil {
		return err
	}
	if err := dfplatform.CheckConditions(era, writes...); err != nil {
		return eris.Wrapf(dfplatform.ErrUnavailable, "commit %s: %v", attempt, err)
	}
	return nil
}

// Put implements dfplatform.ObjectStore.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var header metadata.MD
	_, err := c.platform.PutObject(ctx, &dfproto.PutObjectRequest{Name: name, Data: data}, grpc.Header(&header))
	_, err = c.finish(header, err, "put object", name)
	return err
}

// Fetch implements dfplatform.ObjectStore.
func (c *Client) Fetch(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var header metadata.MD
	reply, err := c.platform.FetchObject(ctx, &dfproto.FetchObjectRequest{Name: name}, grpc.Header(&header))
	if _, err := c.finish(header, err, "fetch object", name); err != nil {
		return nil, err
	}
	return reply.GetData(), nil
}

// Names implements dfplatform.ObjectStore.
func (c *Client) Names(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var header metadata.MD
	reply, err := c.platform.ListObjects(ctx, &dfproto.ListObjectsRequest{Prefix: prefix}, grpc.Header(&header))
	if _, err := c.finish(header, err, "list objects", prefix); err != nil {
		return nil, err
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

func rowFrom(era uint64, row *dfproto.Row) (dfplatform.Row, error) {
	version, err := dfrevision.New(era, row.GetVersion())
	return dfplatform.Row{Key: row.GetKey(), Value: row.GetValue(), Version: version, Attempt: row.GetAttempt()}, err
}

// Era implements dfplatform.Platform.
func (c *Client) Era() uint64 {
	return c.eras.Latest()
}

// finish returns the era in the header of an answer, or 0 if there is none, and the
// error of the call.
func (c *Client) finish(header metadata.MD, err error, call, subject string) (uint64, error) {
	var era uint64
	if values := header.Get(dfproto.HeaderEra); len(values) > 0 {
		number, parseErr := strconv.ParseUint(values[0], 10, 64)
		if parseErr != nil {
			return 0, eris.Wrapf(dfplatform.ErrUnavailable, "%s %s: era: %v", call, subject, parseErr)
		}
		era = number
		c.eras.Observe(era)
	}
	return era, mapped(err, call, subject)
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
