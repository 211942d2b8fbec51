package load

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/standin/service"
)

// callExchange makes a call that may not be repeated; after a lost connection it
// asks again with the same key.
type callExchange struct {
	client  *fasthttp.Client
	request Request
	id      string
	key     string
	// once is the Idempotency-Key.
	once string
	// sent is true once the key may have reached a host.
	sent   bool
	due    time.Time
	result *Result
}

func (c *callExchange) begun() bool { return false }

func (c *callExchange) try(target string) outcome {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	address(req, fasthttp.MethodPost, target, c.request.Shape.Path, c.key, c.id)
	setDeadline(req, c.request.Shape, c.due)
	req.Header.Set(callerapi.HeaderKey, c.once)
	if !c.sent {
		req.Header.Set(callerapi.HeaderFirst, "true")
	}
	req.Header.SetContentType("application/json")
	req.SetBodyString(fmt.Sprintf(`{"request":%d}`, c.request.N))
	err := c.client.Do(req, resp)
	c.sent = c.sent || !neverSent(err)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return refusal(resp)
	}
	return c.read(resp)
}

// read checks that the answer is that of the call's own key.
func (c *callExchange) read(resp *fasthttp.Response) outcome {
	body, err := readAll(resp)
	if err != nil {
		return outcome{kind: tryLost, reason: "answer broken"}
	}
	var echo service.Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		return outcome{kind: tryWrong, reason: "the answer isn't the service's"}
	}
	if echo.Key != c.once {
		return outcome{kind: tryWrong, reason: "the answer is that of another key"}
	}
	c.result.FirstToken = time.Since(c.due)
	return outcome{kind: tryDone}
}
