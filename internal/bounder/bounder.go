// Package bounder computes the most that any admission policy could serve: the mix of
// requests with the highest worth that fits the slots and the rates of the services. It
// solves a linear programme (Dantzig: "Linear Programming and Extensions", 1963) and does
// no input or output.
package bounder

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"github.com/flamingotack/flamingotack/internal/parser"
)

// tolerance is the accuracy of the solution, relative to the demand.
const tolerance = 1e-9

type (
	// Demand describes services and the requests that are asked of them.
	Demand struct {
		Services []Service `json:"services"`
		Kinds    []Kind    `json:"kinds"`
	}

	// Service is a group of backend servers.
	Service struct {
		// Name is unique among the services.
		Name string `json:"name"`
		// Slots is the number of calls that its servers run concurrently.
		Slots float64 `json:"slots"`
		// Rate is the number of calls per second that its servers accept, such as
		// while they are cold; 0 sets no limit.
		Rate float64 `json:"rate"`
	}

	// Kind is a kind of request.
	Kind struct {
		// Name is unique among the kinds.
		Name string `json:"name"`
		// Asked is the number of requests per second.
		Asked float64 `json:"asked"`
		// Worth is what one served request is worth; 0 stands for 1.
		Worth float64 `json:"worth"`
		// Uses are all calls of the request's chain, including the first.
		Uses []Use `json:"uses"`
	}

	// Use describes the calls of a chain to a service.
	Use struct {
		// Service is the name of the service.
		Service string `json:"service"`
		// Calls is the number of calls; 0 stands for 1.
		Calls float64 `json:"calls"`
		// Time is the mean time for which one call occupies a slot.
		Time parser.Duration `json:"time"`
	}

	// Bound is the best that any policy could serve.
	Bound struct {
		// AskedWorth and Worth are the worth per second that is asked for and that
		// can be served. Worth is at most AskedWorth.
		AskedWorth, Worth float64
		// Served holds the requests served per second by kind, in their order. None
		// is more than what is asked for.
		Served []float64
	}
)

// ParseDemand decodes JSON with comments. It returns an error that names file, line and
// field if the text is not valid.
func ParseDemand(file string, data []byte) (d *Demand, err error) {
	d = &Demand{}
	if err := parser.Decode(file, data, d, d.setDefaultsAndValidate); err != nil {
		return nil, err
	}
	return d, nil
}

// Solve returns the bound. The demand is valid, as ParseDemand returns it.
func (d *Demand) Solve() (b Bound, err error) {
	defer func() { err = errors.Wrapf(err, "bound of %d kinds on %d services", len(d.Kinds), len(d.Services)) }()
	rows := d.constraints()
	// Each row gets a slack variable, which makes it an equation and starts the
	// simplex algorithm from serving nothing.
	columns := len(d.Kinds) + len(rows)
	costs := make([]float64, columns)
	for k, kind := range d.Kinds {
		costs[k] = -kind.Worth
		b.AskedWorth += kind.Worth * kind.Asked
	}
	coefficients := mat.NewDense(len(rows), columns, nil)
	limits := make([]float64, len(rows))
	slacks := make([]int, len(rows))
	for i, row := range rows {
		slacks[i] = len(d.Kinds) + i
		limits[i] = row.limit
		coefficients.SetRow(i, append(row.coefficients, make([]float64, len(rows))...))
		coefficients.Set(i, slacks[i], 1)
	}
	_, solution, err := lp.Simplex(costs, coefficients, limits, tolerance, slacks)
	if err != nil {
		return Bound{}, errors.Wrap(err, "simplex")
	}
	b.Served = solution[:len(d.Kinds)]
	for k, kind := range d.Kinds {
		b.Served[k] = min(b.Served[k], kind.Asked)
		b.Worth += kind.Worth * b.Served[k]
	}
	return b, nil
}

// constraint is the condition that the sum of the served kinds, each multiplied by its
// coefficient, is at most limit.
type constraint struct {
	coefficients []float64
	limit        float64
}

func (d *Demand) constraints() (rows []constraint) {
	for k, kind := range d.Kinds {
		row := constraint{make([]float64, len(d.Kinds)), kind.Asked}
		row.coefficients[k] = 1
		rows = append(rows, row)
	}
	for _, s := range d.Services {
		slots := constraint{make([]float64, len(d.Kinds)), s.Slots}
		rate := constraint{make([]float64, len(d.Kinds)), s.Rate}
		for k, kind := range d.Kinds {
			for _, u := range kind.Uses {
				if u.Service == s.Name {
					slots.coefficients[k] += u.Calls * u.Time.Std().Seconds()
					rate.coefficients[k] += u.Calls
				}
			}
		}
		rows = append(rows, slots)
		if s.Rate > 0 {
			rows = append(rows, rate)
		}
	}
	return rows
}

func (d *Demand) setDefaultsAndValidate() (problems []parser.FieldProblem) {
	add := func(pointer, format string, args ...any) {
		problems = append(problems, parser.FieldProblem{Pointer: pointer, Message: fmt.Sprintf(format, args...)})
	}
	services := map[string]bool{}
	for i, s := range d.Services {
		pointer := fmt.Sprintf("/services/%d", i)
		if services[s.Name] || s.Name == "" {
			add(pointer+"/name", "%q is empty or used twice", s.Name)
		}
		services[s.Name] = true
		if s.Slots <= 0 {
			add(pointer+"/slots", "%g is not above 0", s.Slots)
		}
		if s.Rate < 0 {
			add(pointer+"/rate", "%g is below 0", s.Rate)
		}
	}
	if len(d.Kinds) == 0 {
		add("/kinds", "there is no kind of request")
	}
	for i := range d.Kinds {
		kind := &d.Kinds[i]
		pointer := fmt.Sprintf("/kinds/%d", i)
		if kind.Worth == 0 {
			kind.Worth = 1
		}
		if kind.Asked < 0 || kind.Worth < 0 {
			add(pointer, "asked %g and worth %g must not be below 0", kind.Asked, kind.Worth)
		}
		for j := range kind.Uses {
			u := &kind.Uses[j]
			if u.Calls == 0 {
				u.Calls = 1
			}
			if !services[u.Service] {
				add(fmt.Sprintf("%s/uses/%d/service", pointer, j), "%q is no service", u.Service)
			}
			if u.Calls < 0 || u.Time < 0 {
				add(fmt.Sprintf("%s/uses/%d", pointer, j), "calls %g and time %s must not be below 0", u.Calls, u.Time.Std())
			}
		}
	}
	return problems
}
