// Package layers holds no code: its test checks which layer may import which.
package layers
