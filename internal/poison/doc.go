// Package poison limits how many back ends the same content may end.
//
// A request may make the back end that runs it end, for example by a bug in the back end's
// code. Sent once more, it ends the next one. Callers retry, programs repeat their turns, and
// each try has an ID of its own and may reach another daemon. So the limit holds for the
// content of a request, over all tries, callers and daemons.
package poison
