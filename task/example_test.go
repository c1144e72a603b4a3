package task_test

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/task"
)

// add asks a counter task to add a number and to answer with the sum.
type add struct {
	number int
	reply  chan<- int
}

// A task owns a sum and answers requests until its group drains.
func Example() {
	group := task.NewGroup(context.Background())
	requests := task.NewMailbox[add](8, task.RejectNew)
	group.Go("counter", func(context.Context) error {
		defer requests.Close()
		sum := 0
		for {
			select {
			case r := <-requests.Receive():
				sum += r.number
				r.reply <- sum
			case <-group.Draining():
				return nil
			}
		}
	})
	for _, n := range []int{2, 3} {
		sum, ok := task.Ask(group.Context(), requests, func(reply chan<- int) add { return add{number: n, reply: reply} })
		fmt.Println(sum, ok)
	}
	fmt.Println(group.Stop(time.Second))
	// Output:
	// 2 true
	// 5 true
	// <nil>
}
