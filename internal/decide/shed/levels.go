package shed

import "comfreycart.dev/comfreycart/internal/call"

// Levels is what the sub-calls of one call told of the services that they went to. Its
// zero value is empty and ready.
type Levels struct {
	rows []serviceLevel
}

// serviceLevel is the mean admission level of one service's endpoints.
type serviceLevel struct {
	service string
	level   float64
	answers float64
}

// Learn takes in the feedback of a sub-call to a service.
func (l *Levels) Learn(service string, f call.Feedback) {
	for i := range l.rows {
		if s := &l.rows[i]; s.service == service {
			s.answers++
			s.level += (f.Level() - s.level) / s.answers
			return
		}
	}
	l.rows = append(l.rows, serviceLevel{service, f.Level(), 1})
}

// Tightest returns f with the level of the service that admits least. The endpoints of a
// service count with their mean: one that sheds for a moment says little of a service
// that is asked several times.
func (l *Levels) Tightest(f call.Feedback) call.Feedback {
	level := f.Level()
	for _, s := range l.rows {
		level = max(level, s.level)
	}
	f.SetLevel(level)
	return f
}
