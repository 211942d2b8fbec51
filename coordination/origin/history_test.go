package origin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
)

// Guards against a version that is forgotten while streams of it may still be taken up, on routes whose streams last for longer than
// records are kept: the version that is left would be taken for the only one.
func TestVersionIsRememberedForTheLongestStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHistory(clocktest.Bubble{})
		h.Update(Listing{service: {"v1"}})
		h.Update(Listing{service: {"v2"}})
		time.Sleep(2 * time.Minute)
		is.Equal(h.Versions(service, Retention), []string{"v2"})
		is.Equal(h.Versions(service, 10*time.Minute), []string{"v1", "v2"})
		time.Sleep(historyRetention)
		is.Equal(h.Versions(service, 2*historyRetention), []string{"v2"})
	})
}
