// Package serving holds what the stand-ins' HTTP servers share: settings of the
// server, answers, and the ways in which a connection can fail.
package serving

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
)

// Limits of the stand-ins' servers.
const (
	maxBodyBytes    = 16 << 20
	headerBytes     = 16 << 10
	shutdownTimeout = time.Second
)

// NewApp returns a fiber application with the stand-ins' limits.
func NewApp(name string) *fiber.App {
	return fiber.New(fiber.Config{
		AppName:        name,
		BodyLimit:      maxBodyBytes,
		ReadBufferSize: headerBytes,
		Immutable:      true,
	})
}

// Run serves app at addr (ip:port) until ctx ends. Connections that are still
// open a second after that are cut.
func Run(ctx context.Context, app *fiber.App, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen at %s: %w; choose a free ip:port", addr, err)
	}
	return Serve(ctx, app, listener)
}

// Serve is Run on an open listener.
func Serve(ctx context.Context, app *fiber.App, listener net.Listener) error {
	err := app.Listener(listener, fiber.ListenConfig{
		DisableStartupMessage: true,
		GracefulContext:       ctx,
		ShutdownTimeout:       shutdownTimeout,
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Decode reads the JSON body of a request into v.
func Decode(c fiber.Ctx, v any) error {
	if err := json.Unmarshal(c.Body(), v); err != nil {
		return fmt.Errorf("the body is not the JSON that %s takes: %w", c.Path(), err)
	}
	return nil
}

// Cut closes the connection of a request without any answer.
func Cut(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
	return nil
}
