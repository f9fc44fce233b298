package shed

import "comfreycart.dev/comfreycart/internal/call"

// ServiceLevels holds the admission levels of the services that one call sent sub-calls
// to, from the feedback on those sub-calls. Its zero value is empty and ready to use.
type ServiceLevels struct {
	services []serviceLevel
}

// serviceLevel is the mean admission level of one service's endpoints.
type serviceLevel struct {
	service string
	level   float64
	// samples is the number of answers that level is the mean of.
	samples float64
}

// Record adds the feedback of a sub-call to a service.
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

// Tightest returns f with the level of the service that admits the fewest calls, if that
// admits fewer than f. The mean of a service's endpoints is used, since a single endpoint
// that sheds for a moment says little about a service that is called several times.
func (l *ServiceLevels) Tightest(f call.Feedback) call.Feedback {
	level := f.Level()
	for _, s := range l.services {
		level = max(level, s.level)
	}
	f.SetLevel(level)
	return f
}
