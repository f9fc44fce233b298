package shed

import "comfreycart.dev/comfreycart/internal/call"

// ServiceLevels is what the sub-calls of one call told of the services that they went to. Its
// zero value is empty and ready.
type ServiceLevels struct {
	services []serviceLevel
}

// serviceLevel is the mean admission level of one service's endpoints.
type serviceLevel struct {
	service string
	level   float64
	samples float64
}

// Record takes in the feedback of a sub-call to a service.
func (l *ServiceLevels) Record(service string, f call.Feedback) {
	for i := range l.services {
		if s := &l.services[i]; s.service == service {
			s.samples++
			s.level += (f.Level() - s.level) / s.samples
			return
		}
	}
	l.services = append(l.services, serviceLevel{service, f.Level(), 1})
}

// Tightest returns f with the level of the service that admits least. The endpoints of a
// service count with their mean: one that sheds for a moment says little of a service
// that is asked several times.
func (l *ServiceLevels) Tightest(f call.Feedback) call.Feedback {
	level := f.Level()
	for _, s := range l.services {
		level = max(level, s.level)
	}
	f.SetLevel(level)
	return f
}
