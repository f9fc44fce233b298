package shed

import "comfreycart.dev/comfreycart/internal/call"

// ServiceLevels holds the admission levels of the services that one call sent sub-calls
// to, from the feedback on those sub-calls. Its zero value is empty and ready to use.
//
// A service counts with the mean of its endpoints, since a single one that sheds for a moment
// says little about a service that is called several times. Endpoints of few slots are tight by
// chance although the service has room, and a call that meets one of these goes on to another
// (see pick.Moves); a service of such endpoints counts as tight only as far as all that were
// seen are.
type ServiceLevels struct {
	services []serviceLevel
}

// fewSlots is the concurrency limit below which an endpoint is often tight by chance.
const fewSlots = 12

// serviceLevel is the admission level of the endpoints of one service that were seen.
type serviceLevel struct {
	service string
	level   float64
	// samples is the number of answers that level is the mean of.
	samples float64
}

// add adds the level in one more answer.
func (s *serviceLevel) add(f call.Feedback) {
	if f.Limit < fewSlots {
		s.level = min(s.level, f.Level())
		return
	}
	s.samples++
	s.level += (f.Level() - s.level) / s.samples
}

// Record adds the feedback of a sub-call to a service.
func (l *ServiceLevels) Record(service string, f call.Feedback) {
	for i := range l.services {
		if s := &l.services[i]; s.service == service {
			s.add(f)
			return
		}
	}
	l.services = append(l.services, serviceLevel{service, f.Level(), 1})
}

// Tightest returns f with the level of the service that admits the fewest calls, if that
// admits fewer than f.
func (l *ServiceLevels) Tightest(f call.Feedback) call.Feedback {
	level := f.Level()
	for _, s := range l.services {
		level = max(level, s.level)
	}
	f.SetLevel(level)
	return f
}
