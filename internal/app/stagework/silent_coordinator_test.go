package stagework

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
)

// slowCoordinator starts each task at once and has its result after a while.
type slowCoordinator struct {
	noCoordinators
	took time.Duration
}

func (s slowCoordinator) Submit(ctx context.Context, _ string, _ int, t *Task) ([]Result, error) {
	t.MarkStarted()
	select {
	case <-ctx.Done():
		return nil, &core.Error{Kind: core.Unavailable, Detail: LostCoordinator, Err: ctx.Err()}
	case <-time.After(s.took):
		return []Result{{Handle: "h", Endpoint: "m0"}}, nil
	}
}

// Guards against a task that is given up because its coordinator sent no status for a while,
// before it is known that the task may run elsewhere: the coordinator works on it, and the
// retry budget does not allow a repetition.
func TestATaskOfASilentCoordinatorIsKeptUntilAnotherTakesIt(t *testing.T) {
	withClient(t, 3, func(sim *simulation, c *Client) {
		c.SetEndpoints(sim.pool(), sim.entries()[:1])
		c.local.budget = &fakeBudget{}
		c.remote = slowCoordinator{took: 2 * time.Second}
		ctx, cancel := context.WithCancel(sim.t.Context())
		defer cancel()
		go c.fleet.Run(ctx)
		time.Sleep(time.Second)
		group := c.groupsOf(testPool)[0].ID
		for i := 1; c.candidates(testPool, group)[0].ID == "d0" && i < 50; i++ {
			c.fleet.HandleExchange(&fleet.Status{Member: fleet.Member{ID: core.InstanceID(fmt.Sprint("d", i)), Address: fmt.Sprint("a", i), DataCenter: "dc0"}, Incarnation: 1})
		}

		if _, err := c.Run(ctx, newTask("r", 1, 0, time.Second, 5*time.Second)); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a field that a submission of a task does not get.
func TestASubmissionHasAllOfItsTask(t *testing.T) {
	task := newTask("r", 2, 1, time.Second, time.Minute)
	original := reflect.ValueOf(task).Elem()
	for i := range original.NumField() {
		f := original.Type().Field(i)
		if !f.IsExported() || f.Name == "OnStart" {
			continue
		}
		if f := original.Field(i); f.IsZero() && f.CanSet() {
			setNonZero(f)
		}
	}
	copied := reflect.ValueOf(task.copy()).Elem()
	for i := range original.NumField() {
		if f := original.Type().Field(i); f.IsExported() && f.Name != "OnStart" && !reflect.DeepEqual(original.Field(i).Interface(), copied.Field(i).Interface()) {
			t.Errorf("%s is %v, want %v", f.Name, copied.Field(i), original.Field(i))
		}
	}
}

// setNonZero sets a field of a task to some value.
func setNonZero(f reflect.Value) {
	switch f.Kind() {
	case reflect.String:
		f.SetString("x")
	case reflect.Int:
		f.SetInt(1)
	case reflect.Bool:
		f.SetBool(true)
	case reflect.Slice:
		f.Set(reflect.MakeSlice(f.Type(), 1, 1))
	case reflect.Map:
		f.Set(reflect.MakeMap(f.Type()))
	case reflect.Interface:
		f.Set(reflect.ValueOf(context.Canceled))
	}
}
