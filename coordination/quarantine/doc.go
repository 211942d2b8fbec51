// Package quarantine keeps requests that crash the runners which run them away from the
// rest of the fleet.
package quarantine
