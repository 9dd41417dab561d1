package dfedge

import "dragonflygrade/dfresult"

// admitOperation counts an operation against the limit of its organisation, before
// its first statement is sent to an upstream. It returns why the operation is refused,
// or nil.
func (e *Edge) admitOperation(_ *routeRequest) *dfresult.Error {
	return nil
}
