// Classifies the errors of system calls: which ones pass by themselves, and what to do meanwhile.
#pragma once

#include <boost/system/error_code.hpp>
#include <cerrno>

namespace quota_gateway::net {

// What a failed accept means for the calls after it.
enum class AcceptFailure {
  kCancelled,       // by ourselves
  kConnectionLost,  // that one connection; the next in the backlog can be taken at once
  kNoDescriptors,   // this process has used up its own
  kTransient        // the system is short of something; worth another try a little later
};

inline AcceptFailure classify_accept(const boost::system::error_code& ec) {
  switch (ec.value()) {
    case ECANCELED:
      return AcceptFailure::kCancelled;
    case EMFILE:
      return AcceptFailure::kNoDescriptors;
    // Network errors that accept(2) reports for the connection it would have returned.
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

// True for errors of socket() and connect() that lie with this machine and not with the peer.
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
