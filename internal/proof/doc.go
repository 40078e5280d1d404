// Package proof holds the long randomised runs over the decision packages: in
// virtual time, several entries with fakes at their interfaces are killed,
// stopped, frozen and cut off, and what must always hold is asserted
// throughout. The runs are in the package's tests; docs/PROOFS.md lists what
// they show and what they don't.
package proof
