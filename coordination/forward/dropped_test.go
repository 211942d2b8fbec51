package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// Guards against answers that are read before they are dropped: their bytes may never end.
func TestDroppedAnswersAreNotRead(t *testing.T) {
	for name, dropped := range map[string]reply{
		"without a signature": {status: 200, unsigned: true, stall: time.Hour},
		"refusal":             {status: 503, notRun: true, stall: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, plenty, dropped, reply{status: 200, body: "done"})
				began := time.Now()
				answer, err := w.Forward(t.Context(), request(state.RouteSafe, 2, false))
				is.NoErr(err)
				is.Equal(string(answer.Body), "done")
				is.Equal(time.Since(began), time.Duration(0))
			})
		})
	}
}
