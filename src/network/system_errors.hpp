// Classifies the errors of system calls by how the caller should continue.
#pragma once

#include <boost/system/error_code.hpp>
#include <cerrno>

namespace quota_gateway::net {

// The cause of a failed accept, which decides when the next one is worth trying.
enum class AcceptFailure {
  kCancelled,       // by this process
  kConnectionLost,  // only this connection failed; the next one in the backlog can be accepted at once
  kNoDescriptors,   // this process has reached its limit of file descriptors
  kTransient        // such as a lack of system resources; retry after a short delay
};

inline AcceptFailure classify_accept(const boost::system::error_code& ec) {
  switch (ec.value()) {
    case ECANCELED:
      return AcceptFailure::kCancelled;
    case EMFILE:
      return AcceptFailure::kNoDescriptors;
    // Network errors that accept(2) reports for the connection that it would have returned.
    case ECONNABORTED:
    case EPROTO:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETDOWN:
    case ENETUNREACH:
    case EPERM:
    case EINTR:
      return AcceptFailure::kConnectionLost;
    default:
      return AcceptFailure::kTransient;
  }
}

// Returns whether an error of socket() or connect() is caused by this machine and not by the peer.
inline bool is_local_connect_failure(const boost::system::error_code& ec) {
  switch (ec.value()) {
    case EADDRNOTAVAIL:
    case EAGAIN:
    case EINTR:
    case EMFILE:
    case ENETDOWN:
    case ENETUNREACH:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return true;
    default:
      return false;
  }
}

}  // namespace quota_gateway::net
