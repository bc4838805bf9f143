package bounder

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

// TestKnownBounds checks bounds that are easy to compute by hand.
func TestKnownBounds(t *testing.T) {
	const slotTime = parser.Duration(100 * time.Millisecond)
	chain := Kind{Name: "chain", Asked: 100, Worth: 1, Uses: []Use{{"front", 1, slotTime}, {"deep", 4, slotTime}}}
	direct := Kind{Name: "direct", Asked: 10, Worth: 1, Uses: []Use{{"deep", 1, slotTime}}}
	apart := Kind{Name: "apart", Asked: 50, Worth: 1, Uses: []Use{{"front", 1, slotTime}}}
	valuable := Kind{Name: "valuable", Asked: 5, Worth: 3, Uses: []Use{{"front", 1, slotTime}, {"deep", 4, slotTime}}}
	front := Service{Name: "front", Slots: 1000}
	tests := []struct {
		name     string
		services []Service
		kinds    []Kind
		served   []float64
	}{
		{"room for all", []Service{front, {Name: "deep", Slots: 1000}}, []Kind{chain, direct}, []float64{100, 10}},
		{"scarce slots go to short chains first", []Service{front, {Name: "deep", Slots: 5}}, []Kind{chain, direct, apart}, []float64{10, 10, 50}},
		{"scarce rate", []Service{front, {Name: "deep", Slots: 1000, Rate: 30}}, []Kind{chain, direct, apart}, []float64{5, 10, 50}},
		{"worth decides", []Service{front, {Name: "deep", Slots: 2}}, []Kind{chain, valuable}, []float64{0, 5}},
		{"nothing asked", []Service{front}, []Kind{{Name: "none", Worth: 1}}, []float64{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Demand{Services: tt.services, Kinds: tt.kinds}
			b, err := d.Solve()
			if err != nil {
				t.Fatal(err)
			}
			for k, want := range tt.served {
				if got := b.Served[k]; math.Abs(got-want) > 1e-6 {
					t.Errorf("got %.3f of kind %q, want %.3f", got, tt.kinds[k].Name, want)
				}
			}
		})
	}
}

// TestBoundIsNeverExceeded compares the bound with mixes that fit: none may be worth more,
// and the bound itself must fit and not exceed the demand.
func TestBoundIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDemand(t)
		b, err := d.Solve()
		if err != nil {
			t.Fatal(err)
		}
		if !d.fits(b.Served, 1+1e-6) {
			t.Errorf("got a bound that does not fit: %v of %+v", b.Served, d)
		}
		if b.Worth > b.AskedWorth*(1+1e-9) {
			t.Errorf("got worth %g, want at most the %g asked for", b.Worth, b.AskedWorth)
		}
		mix, worth := make([]float64, len(d.Kinds)), 0.0
		for k, kind := range d.Kinds {
			mix[k] = kind.Asked * rapid.Float64Range(0, 1).Draw(t, "fraction")
			worth += kind.Worth * mix[k]
		}
		if d.fits(mix, 1) && worth > b.Worth*(1+1e-6)+1e-9 {
			t.Errorf("got bound %g, want at least %g of a mix that fits", b.Worth, worth)
		}
	})
}

func drawDemand(t *rapid.T) *Demand {
	d := &Demand{}
	for i := range rapid.IntRange(1, 4).Draw(t, "services") {
		s := Service{Name: fmt.Sprint("s", i), Slots: rapid.Float64Range(1, 200).Draw(t, "slots")}
		if rapid.Bool().Draw(t, "cold") {
			s.Rate = rapid.Float64Range(1, 200).Draw(t, "rate")
		}
		d.Services = append(d.Services, s)
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "kinds") {
		kind := Kind{Name: fmt.Sprint("k", i), Asked: rapid.Float64Range(0, 500).Draw(t, "asked"), Worth: rapid.Float64Range(0.1, 5).Draw(t, "worth")}
		for _, s := range d.Services {
			if rapid.Bool().Draw(t, "uses") {
				kind.Uses = append(kind.Uses, Use{s.Name, rapid.Float64Range(0.1, 5).Draw(t, "calls"), parser.Duration(rapid.IntRange(0, 300).Draw(t, "time")) * parser.Duration(time.Millisecond)})
			}
		}
		d.Kinds = append(d.Kinds, kind)
	}
	return d
}

// fits reports whether the mix is within slack times every limit.
func (d *Demand) fits(mix []float64, slack float64) bool {
	for _, row := range d.constraints() {
		sum := 0.0
		for k, n := range mix {
			sum += row.coefficients[k] * n
		}
		if sum > slack*row.limit+1e-9 {
			return false
		}
	}
	return true
}
