package ctl

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/transport/httpclient"
	ownplatform "github.com/thymerack/thymerack/transport/platform"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// StoreFlags name the platform's store, for commands that ask no host.
type StoreFlags struct {
	Store string `arg:"--store,env:THYMECTL_STORE" help:"ip:port of the platform's store, as in the hosts' settings"`
	Users bool   `arg:"--users" help:"the store is that of the users' platform (thymerackd --platform)"`
}

const (
	// storeTimeout bounds one call to the store by hand, storeConns its connections.
	storeTimeout = 10 * time.Second
	storeConns   = 2
	// storeHeaderBytes bounds the head of an answer.
	storeHeaderBytes = 4 << 10
)

// open returns the store, without a connection yet; what says what is kept there.
func (f StoreFlags) open(what string) (store.Store, error) {
	if f.Store == "" {
		return nil, &UsageError{what + " kept at the platform's store; name its ip:port with --store or THYMECTL_STORE"}
	}
	s, err := f.client()
	if err != nil {
		return nil, &UsageError{err.Error()}
	}
	return s, nil
}

func (f StoreFlags) client() (store.Store, error) {
	if !f.Users {
		return ownplatform.New(ownplatform.Options{Addr: f.Store, Caller: "thymectl", Timeout: storeTimeout, ReadAttempts: 1})
	}
	client, err := httpclient.New(httpclient.Options{
		Addr: f.Store, DialTimeout: storeTimeout, WriteTimeout: storeTimeout, UserTimeout: storeTimeout, KeepAlive: storeTimeout,
		MaxConns: storeConns, MaxIdle: storeTimeout, MaxHeaderBytes: storeHeaderBytes,
	})
	if err != nil {
		return nil, err
	}
	return platform.NewStore(platform.StoreOptions{Client: client, Host: f.Store, Epochs: platform.NewEpochs(wallclock.Clock{}, slog.New(slog.DiscardHandler)), Timeout: storeTimeout, ListTimeout: storeTimeout, WatchWait: storeTimeout}), nil
}

// explain names the store in the error of one that gave no answer.
func (f StoreFlags) explain(err error) error {
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		return &StoreUnreachableError{Addr: f.Store, Cause: err}
	}
	return err
}

// StoreUnreachableError says that the platform's store gave no answer.
type StoreUnreachableError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *StoreUnreachableError) Error() string {
	return fmt.Sprintf("the store at %s gave no answer (%v); check --store against the hosts' settings", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreUnreachableError) Unwrap() error { return e.Cause }
