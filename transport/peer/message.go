package peer

import (
	"context"

	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/state/packed"
	"github.com/vmihailenco/msgpack/v5"
)

// CallMsg calls a peer with a msgpack message and decodes the answer.
func CallMsg[Req, Rep any](ctx context.Context, c *Client, addr string, kind peerapi.Kind, req Req) (Rep, error) {
	var rep Rep
	body, err := msgpack.Marshal(req)
	if err != nil {
		return rep, err
	}
	answer, err := c.Call(ctx, addr, kind, body)
	if err != nil {
		return rep, err
	}
	if err := packed.Decode(answer, &rep); err != nil {
		return rep, &RemoteError{Code: peerapi.CodeBadBody, Message: "the answer can't be decoded; bring both hosts to the same release"}
	}
	return rep, nil
}

// HandleMsg makes a Handler of a function over messages.
func HandleMsg[Req, Rep any](handle func(ctx context.Context, from state.HostID, req Req) (Rep, error)) Handler {
	return func(ctx context.Context, from state.HostID, body []byte) ([]byte, error) {
		var req Req
		if err := packed.Decode(body, &req); err != nil {
			return nil, &RemoteError{Code: peerapi.CodeBadBody, Message: "the request can't be decoded; bring both hosts to the same release"}
		}
		rep, err := handle(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return msgpack.Marshal(rep)
	}
}
