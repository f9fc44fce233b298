package pick

// maxMoves bounds how often one call goes on to another endpoint for want of room. If half of
// the endpoints are full, seven in eight calls find room in three tries; more tries would
// only add messages while the service as a whole is overloaded.
const maxMoves = 2

// minEndpointsToMove is the number of endpoints from which a call may move. With fewer, two
// random choices see most of them, and under overload moves would make the same calls count as
// refused at all of them.
const minEndpointsToMove = 3 * (1 + maxMoves)

// Moves decides whether a call for which an endpoint had no room goes on to another one.
//
// It answers the load of a service with many small endpoints and many senders. Each sender
// sees so few answers that it knows the load of hardly any endpoint, and two random choices
// often meet full endpoints while the service has free slots. The node beside an endpoint
// knows its load exactly, and its refusal reaches no backend server, so that a move costs one
// message between nodes. The zero value is ready to use.
type Moves struct{ made int }

// NextLimited reports whether a call that exceeded the rate limit of one endpoint may go on to
// another one that has named a limit too, and counts the move. Their limits add up, so that this
// holds for services of any size.
func (m *Moves) NextLimited() bool {
	if m.made >= maxMoves {
		return false
	}
	m.made++
	return true
}

// Next reports whether the call may go on to another of the service's endpoints, and counts the
// move.
func (m *Moves) Next(endpoints int) bool {
	if m.made >= maxMoves || endpoints < minEndpointsToMove {
		return false
	}
	m.made++
	return true
}
