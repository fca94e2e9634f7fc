// Package flow is the root package of coltsfootflow. It declares the types that
// all other packages share: the clock, the records that operators publish, the
// outcomes that callers are told, the errors, and the interfaces of exchangeable
// algorithms.
//
// Implementations are in pkg/ and internal/. The folders of internal/ follow the
// lifetime of their state: internal/request for one request,
// internal/connection for one connection, internal/version for one revision of
// the configuration and internal/process for the whole process.
package flow
