package registrar_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/registrar"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func TestResolve(t *testing.T) {
	const incarnation = 7
	request := registrar.ResolveRequest{Attempt: "a/1", Incarnation: incarnation, NotAfter: 1000}

	cases := map[string]struct {
		events     func(r *registrar.Registrar)
		now        flow.Time
		request    registrar.ResolveRequest
		want       registrar.State
		mayArrive  bool
		arrivesNow flow.Time
	}{
		"absent attempt is barred and cannot arrive later": {
			events:     func(*registrar.Registrar) {},
			now:        500,
			request:    request,
			want:       registrar.StateBarred,
			arrivesNow: 999,
		},
		"barred attempt stays barred until its permit has expired": {
			events:     func(r *registrar.Registrar) { r.Resolve(0, request) },
			now:        900,
			request:    request,
			want:       registrar.StateBarred,
			arrivesNow: 1000,
		},
		"attempt that has arrived is running": {
			events:  func(r *registrar.Registrar) { r.RecordArrival(400, "a/1", 1000) },
			now:     500,
			request: request,
			want:    registrar.StateRunning,
		},
		"attempt that has ended is ended": {
			events: func(r *registrar.Registrar) {
				r.RecordArrival(400, "a/1", 1000)
				r.RecordEnd(450, "a/1", false)
			},
			now:     500,
			request: request,
			want:    registrar.StateEnded,
		},
		"attempt that was refused is refused": {
			events: func(r *registrar.Registrar) {
				r.RecordArrival(400, "a/1", 1000)
				r.RecordEnd(450, "a/1", true)
			},
			now:     500,
			request: request,
			want:    registrar.StateRefused,
		},
		"attempt that has ended is not barred while its entry is kept": {
			events: func(r *registrar.Registrar) {
				r.RecordArrival(400, "a/1", 1000)
				r.RecordEnd(450, "a/1", false)
			},
			now:     flow.Time(1000).Add(15 * time.Second),
			request: request,
			want:    registrar.StateEnded,
		},
		"attempt sent to an earlier process is unknown": {
			events:    func(*registrar.Registrar) {},
			now:       500,
			request:   registrar.ResolveRequest{Attempt: "a/1", Incarnation: 6, NotAfter: 1000},
			want:      registrar.StateUnknown,
			mayArrive: true,
		},
		"attempt whose entry may have been dropped is unknown": {
			events:    func(*registrar.Registrar) {},
			now:       flow.Time(1000).Add(time.Minute),
			request:   request,
			want:      registrar.StateUnknown,
			mayArrive: true,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := registrar.New(incarnation)
			tc.events(r)
			is.Equal(r.Resolve(tc.now, tc.request).State, tc.want)
			mayArrive := r.RecordArrival(max(tc.now, tc.arrivesNow), "a/1", 1000) == registrar.StateNew
			is.Equal(mayArrive, tc.mayArrive)
		})
	}
}
