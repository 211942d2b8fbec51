package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

// keyring is the customers' keys, one customer a caller. A key that is revoked gives way to
// another in the same configuration.
type keyring struct {
	mu   sync.Mutex
	keys map[string][]string
	made int
	// madeAt is when a key was made.
	madeAt map[string]time.Time
	// revoked is when the revocation of a key was acknowledged.
	revoked map[string]time.Time
}

func newKeyring(callers int) *keyring {
	k := &keyring{keys: map[string][]string{}, madeAt: map[string]time.Time{}, revoked: map[string]time.Time{}}
	for n := range callers {
		k.add(customerName(n))
	}
	k.add(fatalCustomer)
	return k
}

func customerName(caller int) string { return fmt.Sprint("customer-", caller) }

// fatalCustomer sends the requests that end runners.
const fatalCustomer = "customer-fatal"

func (k *keyring) add(customer string) {
	k.made++
	key := fmt.Sprintf("key-%d-of-%s", k.made, customer)
	k.keys[customer], k.madeAt[key] = append(k.keys[customer], key), time.Now()
}

// isNew reports whether a key may not be known everywhere at a moment yet.
func (k *keyring) isNew(key string, at time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return at.Sub(k.madeAt[key]) < 2*time.Second+calm
}

// choose is a key of the customer: mostly the newest, at times one that was revoked.
func (k *keyring) choose(customer string, rng *rand.Rand) string {
	if rng.IntN(5) == 0 {
		if key := k.anyRevoked(); key != "" {
			return key
		}
	}
	return k.newest(customer)
}

// anyRevoked is a key that was revoked, or "".
func (k *keyring) anyRevoked() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.revoked {
		return key
	}
	return ""
}

// newest is the customer's key in force.
func (k *keyring) newest(customer string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.keys[customer]
	return list[len(list)-1]
}

// replace revokes a random customer's key; the returned function is to be called once that is
// acknowledged.
func (k *keyring) replace(rng *rand.Rand) (acknowledged func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	for name := range k.keys {
		names = append(names, name)
	}
	slices.Sort(names)
	name := names[rng.IntN(len(names))]
	old := k.keys[name]
	k.keys[name] = nil
	k.add(name)
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, key := range old {
			k.revoked[key] = time.Now()
		}
	}
}

// present is a copy of the keys in force.
func (k *keyring) present() map[string][]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string][]string{}
	for name, list := range k.keys {
		out[name] = slices.Clone(list)
	}
	return out
}

// revokedAt is when a key was revoked; zero if it wasn't.
func (k *keyring) revokedAt(key string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revoked[key]
}

// revokeKey writes a configuration without one of the keys.
func (f *fleet) revokeKey(rng *rand.Rand) {
	acknowledged := f.keys.replace(rng)
	f.putConfig()
	acknowledged()
}

// judgeKey checks that no request ran under another's name, nor with a key that was revoked
// longer ago than the bound when it was sent; nothing that was disturbed excuses that.
func (f *fleet) judgeKey(r result, runs []platformtest.Run) {
	for _, run := range runs {
		if run.Customer != r.customer && r.key != "" {
			f.problem("request %s of %s ran under the name %q", r.id, r.customer, run.Customer)
		}
	}
	if at := f.keys.revokedAt(r.key); !at.IsZero() && r.began.After(at.Add(platformtest.Revoke)) && len(runs) > 0 {
		f.problem("request %s ran at %s with a key that was revoked %s before it was sent", r.id, runs[0].Runner, r.began.Sub(at))
	}
}

// judgeDuties checks what the interface for the duties has seen.
func (f *fleet) judgeDuties() {
	for _, p := range f.duties.Problems() {
		f.problem("%s", p)
	}
	f.note("%d windows of usage were reported: %v", len(f.duties.Reports()), f.duties.Reports())
	if len(f.duties.Reports()) == 0 {
		f.problem("no usage was reported")
	}
}

// heldBack reports whether a call under the lease may have been held back on its way, within a
// moment; which host's isn't told apart.
func (f *fleet) heldBack(within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.spans {
		if s.late && (s.to.IsZero() || time.Since(s.to) < within) {
			return true
		}
	}
	return false
}
