package explore

import (
	"fmt"
	"time"
)

// Offers collects the choices of a System, and implements its State for systems in which every order counts as a state of its own. It is
// meant to be embedded. The zero value is ready for use.
type Offers struct {
	// Faults is the number of choices of OfferFault that were performed.
	Faults int

	now         time.Duration
	choices     []Choice
	fingerprint OrderFingerprint
}

// Begin drops the choices of the step before. The names of those that follow begin with the time.
func (o *Offers) Begin(now time.Duration) { o.now, o.choices = now, o.choices[:0] }

// Offer adds a choice.
func (o *Offers) Offer(do func(), format string, args ...any) {
	name := fmt.Sprintf("%5.2f s  ", o.now.Seconds()) + fmt.Sprintf(format, args...)
	o.choices = append(o.choices, Choice{Name: name, Do: do})
}

// OfferFault adds a choice that counts as a fault.
func (o *Offers) OfferFault(do func(), format string, args ...any) {
	o.Offer(func() {
		o.Faults++
		do()
	}, format, args...)
}

// Names returns the names of the choices.
func (o *Offers) Names() []string { return Names(o.choices) }

// Perform performs the choice with the given index.
func (o *Offers) Perform(choice int) {
	o.fingerprint = o.fingerprint.Add(choice)
	o.choices[choice].Do()
}

// State implements System.
func (o *Offers) State() uint64 { return uint64(o.fingerprint) }
