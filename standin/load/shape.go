package load

import (
	"fmt"
	"time"
)

// Shape is one kind of request of a mix.
type Shape struct {
	// Class and Customer name the request's class and the account that sends it.
	Class    string
	Customer string
	// Share is the weight of the shape in the mix.
	Share float64
	// Swing moves the share over time: at the top of a swing the share is
	// multiplied by 1+Swing, at the bottom by 1-Swing.
	Swing    float64
	Deadline time.Duration

	// Model is set for model requests; Path for calls of a plain service that
	// may not be repeated.
	Model string
	Path  string
	// Chat sends messages instead of a prompt.
	Chat bool
	// Books is the number of shared prompt beginnings, BookWords their length.
	Books     int
	BookWords int
	// Words are the least and most words after the shared beginning.
	Words [2]int
	// Output are the least and most tokens of the answer; MaxTokens is what is
	// asked for at most.
	Output    [2]int
	MaxTokens int
}

// Preset returns the mix of an example deployment.
func Preset(name string) ([]Shape, error) {
	switch name {
	case "rostering":
		return rostering(), nil
	case "hay":
		return hay(), nil
	}
	if shape, ok := single(name); ok {
		return []Shape{shape}, nil
	}
	return nil, fmt.Errorf("%q is not a mix; use rostering, hay, one-token, many-tokens, long-prompt or one-call", name)
}

// single returns a mix of one kind of request of the rostering deployment, for
// measuring what a request, a token, a prompt and a call cost.
func single(name string) (Shape, bool) {
	short := Shape{
		Class: "chat", Customer: "driver", Share: 1, Deadline: 8 * time.Second,
		Model: "roster-llm", Books: 1, BookWords: 64, Words: [2]int{16, 16}, Output: [2]int{1, 1}, MaxTokens: 1,
	}
	switch name {
	case "one-token":
	case "many-tokens":
		short.Output, short.MaxTokens = [2]int{256, 256}, 256
	case "long-prompt":
		short.Words = [2]int{4000, 4000}
	case "one-call":
		return Shape{
			Class: "swap", Customer: "dispatcher", Share: 1, Deadline: 2 * time.Second, Path: "/services/dispatch-app/swaps",
		}, true
	default:
		return Shape{}, false
	}
	return short, true
}

func rostering() []Shape {
	return []Shape{
		{
			Class: "rota", Customer: "depot", Share: 0.35, Swing: 0.6, Deadline: 20 * time.Second,
			Model: "roster-llm", Books: 40, BookWords: 3000, Words: [2]int{100, 1200},
			Output: [2]int{8, 24}, MaxTokens: 64,
		},
		{
			Class: "chat", Customer: "driver", Share: 0.4, Swing: -0.6, Deadline: 8 * time.Second,
			Model: "roster-llm", Chat: true, Books: 1, BookWords: 128, Words: [2]int{20, 120},
			Output: [2]int{20, 80}, MaxTokens: 160,
		},
		{
			Class: "swap", Customer: "dispatcher", Share: 0.15, Deadline: 2 * time.Second,
			Path: "/services/dispatch-app/swaps",
		},
		{
			Class: "alert", Customer: "dispatcher", Share: 0.1, Deadline: 2 * time.Second,
			Path: "/services/dispatch-app/alerts",
		},
	}
}

func hay() []Shape {
	return []Shape{
		{
			Class: "verdict", Customer: "exchange", Share: 0.4, Swing: 0.6, Deadline: 15 * time.Second,
			Model: "tasador", Books: 4, BookWords: 1000, Words: [2]int{500, 4000},
			Output: [2]int{4, 12}, MaxTokens: 32,
		},
		{
			Class: "reply", Customer: "farmer", Share: 0.3, Swing: -0.6, Deadline: 10 * time.Second,
			Model: "tasador", Chat: true, Books: 1, BookWords: 128, Words: [2]int{20, 150},
			Output: [2]int{60, 200}, MaxTokens: 256,
		},
		{
			Class: "bid", Customer: "auction", Share: 0.2, Deadline: 2 * time.Second,
			Path: "/services/remate/bids",
		},
		{
			Class: "haulage", Customer: "auction", Share: 0.1, Deadline: 2 * time.Second,
			Path: "/services/remate/holds",
		},
	}
}
