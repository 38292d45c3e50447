// Listening, accepting connections and limiting the admin sessions.
#include "admin/admin_server.hpp"

#include <cstddef>
#include <iostream>
#include <utility>

#include "admin/admin_session.hpp"
#include "network/system_errors.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxSessions = 16;         // limits the file descriptors in use
constexpr Duration kSessionTimeout = 3'000'000;  // us, from accept to the end of the response
constexpr Duration kRetryInterval = 200'000;     // us, after a failed listen or accept

}  // namespace

AdminServer::AdminServer(asio::io_context& io, Timers& timers, AdminHandlers handlers)
    : timers_(timers), handlers_(std::move(handlers)), acceptor_(io) {}

AdminServer::~AdminServer() = default;

void AdminServer::listen(const tcp::endpoint& address) {
  const error_code error = open_acceptor(address);
  if (!error) return accept();
  std::cerr << "admin: cannot listen: " << error.message() << "; trying again\n";
  error_code ignored;
  acceptor_.close(ignored);
  timers_.schedule_after(kRetryInterval, [this, address] { listen(address); });
}

error_code AdminServer::open_acceptor(const tcp::endpoint& address) {
  error_code error;
  acceptor_.open(address.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(address, error);
  if (!error) acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  // Reports aborted connections to the handler in accept(), which continues with the next connection.
  if (!error) acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), error);
  return error;
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) {
      if (classify_accept(error) == AcceptFailure::kConnectionLost) return accept();
      timers_.schedule_after(kRetryInterval, [this] { accept(); });
      return;
    }
    on_accepted(std::move(socket));
    accept();
  });
}

// Starts a session. At the limit, closes the oldest one first, so that stalled callers cannot block others.
void AdminServer::on_accepted(tcp::socket socket) {
  if (sessions_.size() >= kMaxSessions) {
    const std::shared_ptr<AdminSession> oldest = sessions_.front();
    oldest->close();
  }
  const auto session =
      std::make_shared<AdminSession>(std::move(socket), handlers_, [this](const AdminSession& closed) {
        sessions_.remove_if([&closed](const auto& candidate) { return candidate.get() == &closed; });
      });
  sessions_.push_back(session);
  timers_.schedule_after(kSessionTimeout, [weak_session = std::weak_ptr<AdminSession>(session)] {
    if (const auto timed_out = weak_session.lock()) timed_out->close();
  });
  session->start();
}

}  // namespace quota_gateway::net
