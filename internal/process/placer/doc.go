// Package placer decides which host owns a resource: a share of a customer's rate
// ("rate/customer/0"), the ejections of a service ("service/ledger") or a shard
// of the idempotency keys. Owners are found by rendezvous hashing over the member
// list; no message is sent and nothing is stored.
//
// # Changes of the member list
//
// A host holds a resource while it is the owner in every version of the list by
// which another host may still act. A version is retired here once a newer version
// has been in force for the lease timeout, the longest lifetime of a grant and a
// margin. After the lease timeout, no host that needs a valid proof acts without
// the newer version; after the grant lifetime, the grants of the last owner have
// expired. Versions before the oldest known one are treated as one version with an
// unknown owner, also when a process starts.
//
// # Handovers
//
// An owner that stops, or that a newer list no longer names, hands the resource
// over to the host ranked second for it. That host then holds it at once, with the
// level and the outstanding grants of the owner. These rules keep handovers safe
// when lists change and the owner restarts in between:
//
//   - A handover is made in the newest version that came into force at least a
//     lease timeout ago, by an owner that held the resource in it. Every newer
//     version that the owner knows must assign the resource to the owner or to
//     the second host, so every host that acts later knows that version.
//   - It is in force while every newer version that the second host knows assigns
//     the resource to that host, but for HandoverLifetime at most. This limit and
//     the shorter one for the arrival are times on the receiver's clock, computed
//     by the sender from a lower bound of that clock.
//   - A process that restarts on the owner's host sends a Claim to the second host
//     of every version that is not retired before it holds the resource, or waits
//     until every handover and all grants under it have expired. It sends claims
//     only after the time in which a handover of its predecessor could arrive.
//     The answer hands back what was held, and ends the handover.
//   - A second host answers a claim with "wait" while it is younger than the
//     longest grant lifetime, because its own predecessor may have granted, and
//     when it knows another owner.
package placer
