package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/status"
)

func init() {
	register(spec{
		name:  "status",
		short: "Show the state of a process and its view of the others",
		long:  "Reads /status from the operations listener of a process and prints it as a table or as JSON. The operators' key comes from --key or from the environment variable ANVILPOINT_OPERATOR_KEY.",
		make:  func(env *environment) flags.Commander { return &statusCommand{env: env} },
	})
}

// statusTimeout bounds a request for /status.
const statusTimeout = 5 * time.Second

// maxStatusBytes bounds the size of the answer to a request for /status.
const maxStatusBytes = 16 << 20

type statusCommand struct {
	env      *environment
	Settings string `long:"settings" value-name:"FILE" description:"settings file of the process, for its operations address"`
	Address  string `long:"address" value-name:"A" description:"IP address and port of the operations listener"`
	Key      string `long:"key" env:"ANVILPOINT_OPERATOR_KEY" value-name:"KEY" description:"operators' key"`
	JSON     bool   `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if len(args) > 0 || (c.Settings == "") == (c.Address == "") {
		return badInputf("give either --settings FILE or --address A")
	}
	address := c.Address
	if c.Settings != "" {
		s, err := settings.Load(c.Settings)
		if err != nil {
			return badInputf("%v", err)
		}
		address = s.Operations
	}
	body, err := c.fetch(address)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := c.env.out.Write(body)
		return errors.Wrap(err, "write the status")
	}
	var s status.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.Wrapf(err, "decode the status from %s", address)
	}
	return s.WriteTable(c.env.out)
}

func (c *statusCommand) fetch(address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, badInputf("%v", err)
	}
	key := c.Key
	if key == "" {
		key = os.Getenv("ANVILPOINT_OPERATOR_KEY")
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read the status")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read the status from %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status: %s answered %d: %s", address, response.StatusCode, body)
	}
	return body, nil
}
