// Package member keeps a host's membership: its object at the platform, the
// digests that hosts exchange directly, who answers, and whether this host may
// take new work.
//
// # Coverage
//
// A change of an engine may begin only once every host that could have work
// there has acknowledged zero. Hosts that the planner can't see must therefore
// be covered by one it can:
//
//   - A host writes its member object before it reads the orders, and reads the
//     orders before it takes work. The planner writes the draining order before
//     it lists the members. So the planner sees the host, or the host sees the
//     order.
//   - A host that can't reach the platform is sponsored by a member: the sponsor
//     records it, then reads its own orders and hands them over, and from then on
//     acknowledges zero only if the sponsored host does. A sponsored host takes
//     new work only within SponsorFor after it sent an exchange that the sponsor
//     answered with its confirmation. If the sponsor dies, the planner waits for
//     GoneBound, which is longer than SponsorFor and the longest deadline.
//   - A run that is replaced under the same name stays named in its successor's
//     object (Previous) until it is gone for GoneBound.
//   - A host that heard nobody for LapseAfter may have been taken for gone. It
//     registers again and reads the orders again, or is sponsored, before it takes
//     new work.
//
// # Digests
//
// An entry is what one host says of itself, numbered by Seq. Entries of others
// are passed on. A side sends the sequence numbers it has; the other answers with
// what is newer, section by section. An entry is taken only if it is newer than
// the one held and continues from it, so lost, doubled, delayed and reordered
// digests do no harm.
package member
