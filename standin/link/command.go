package link

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/gofiber/fiber/v3"

	"github.com/thymerack/thymerack/standin/serving"
)

// Command is the command line of the links.
type Command struct {
	Control string   `arg:"--control" default:"127.0.0.1:7300" help:"ip:port of the fault endpoint"`
	Links   []string `arg:"positional,required" help:"NAME=LISTEN>TO"`
}

// change is the body of POST /fault.
type change struct {
	Link string `json:"link"`
	Mode Mode   `json:"mode"`
}

// Run carries all links until ctx ends.
func (c *Command) Run(ctx context.Context) error {
	links := map[string]*Link{}
	for _, text := range c.Links {
		l, err := Parse(text)
		if err != nil {
			return err
		}
		ln, err := net.Listen("tcp", l.Listen)
		if err != nil {
			return fmt.Errorf("link %s: %w", l.Name, err)
		}
		defer ln.Close()
		links[l.Name] = l
		go func() { _ = l.Serve(ln) }()
	}
	app := serving.NewApp("links")
	app.Post("/fault", func(f fiber.Ctx) error {
		var ch change
		if err := f.Bind().JSON(&ch); err != nil {
			return f.Status(http.StatusBadRequest).SendString(err.Error())
		}
		l := links[ch.Link]
		if l == nil {
			return f.Status(http.StatusNotFound).SendString("no link " + ch.Link)
		}
		if err := l.Set(ch.Mode); err != nil {
			return f.Status(http.StatusBadRequest).SendString(err.Error())
		}
		return f.SendStatus(http.StatusNoContent)
	})
	return serving.Run(ctx, app, c.Control)
}
