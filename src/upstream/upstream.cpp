// Routing of attempts to connections.
#include "upstream/upstream.hpp"

#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

namespace quota_gateway::net {

Upstream::Upstream(boost::asio::io_context& io, Timers& timers, const Clock& clock, UpstreamLimits limits,
                   BodyBudget& budget, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      context_{.io = io,
               .timers = timers,
               .clock = clock,
               .budget = budget,
               .observer = *this,
               .connect_timeout = limits.connect_timeout,
               .read_buffer = std::vector<char>(kReadSize)},
      pool_(context_, limits) {}

void Upstream::update_endpoints(const DiscoveryUpdate& update) { pool_.update_endpoints(update); }

void Upstream::set_disabled(const std::string& endpoint, bool disabled) {
  pool_.set_disabled(endpoint, disabled);
}

void Upstream::send(AttemptKey key, const std::string& endpoint, const OutgoingRequest& request,
                    TimePoint deadline) {
  const std::shared_ptr<Connection> connection = pool_.acquire(endpoint);
  if (!connection) return report_not_sent_later(key);
  attempts_.emplace(key, connection);
  connection->start_attempt(key, request, deadline);
}

bool Upstream::cancel(AttemptKey key) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return false;
  const std::shared_ptr<Connection> connection = found->second;
  const bool may_have_executed = connection->may_have_executed();
  attempts_.erase(found);
  connection->reset_on_close();
  pool_.close(*connection);
  return may_have_executed;
}

bool Upstream::cancel_unless_written(AttemptKey key) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end() || found->second->may_have_executed()) return false;
  cancel(key);
  return true;
}

std::optional<TimePoint> Upstream::decides_by(AttemptKey key, TimePoint client_deadline) const {
  const auto found = attempts_.find(key);
  return found == attempts_.end() ? std::nullopt : found->second->decides_by(client_deadline);
}

void Upstream::start_streaming_if_arriving(AttemptKey key) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  const std::shared_ptr<Connection> connection = found->second;
  connection->start_streaming_if_arriving();
}

void Upstream::start_streaming_if_long(AttemptKey key) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  const std::shared_ptr<Connection> connection = found->second;
  connection->start_streaming_if_long();
}

void Upstream::resume_reading(AttemptKey key) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  const std::shared_ptr<Connection> connection = found->second;
  connection->resume_reading();
}

TimePoint Upstream::response_ends_at(AttemptKey key, const ResponseDeadlines& deadlines) const {
  const auto found = attempts_.find(key);
  return found == attempts_.end() ? 0 : found->second->response_ends_at(deadlines);
}

EndpointProgress Upstream::response_progress(AttemptKey key) const {
  const auto found = attempts_.find(key);
  return found == attempts_.end() ? EndpointProgress() : found->second->progress();
}

bool Upstream::is_address_current(const Connection& connection) {
  return pool_.is_address_current(connection);
}

void Upstream::on_request_written() { callbacks_.on_request_written(); }

void Upstream::on_response_begun(AttemptKey key) { callbacks_.on_response_begun(key); }

void Upstream::on_response_started(AttemptKey key, const AttemptResult& head,
                                   std::optional<std::uint64_t> length) {
  callbacks_.on_response_started(key, head, length);
}

void Upstream::on_response_chunk(AttemptKey key, std::string bytes) {
  callbacks_.on_response_chunk(key, std::move(bytes));
}

void Upstream::on_attempt_ended(const std::shared_ptr<Connection>& connection, AttemptResult result,
                                bool is_reusable) {
  const AttemptKey key = connection->attempt_key();
  attempts_.erase(key);
  pool_.release(connection, is_reusable);
  connection->release_attempt();
  callbacks_.on_attempt_ended(key, std::move(result));
}

void Upstream::on_idle_connection_lost(Connection& connection) { pool_.close(connection); }

void Upstream::report_not_sent_later(AttemptKey key) {
  boost::asio::post(context_.io, [this, key] {
    callbacks_.on_attempt_ended(key, result_without_response(Outcome::kNotSent));
  });
}

}  // namespace quota_gateway::net
